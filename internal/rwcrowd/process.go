package rwcrowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// PeakMemory returns the largest memory that a process has used, in MB.
func PeakMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		return 0, errors.NotFoundf("peak memory of process %d", pid)
	}
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	return kilobytes >> 10, errors.Trace(err)
}

// OpenDescriptors returns the number of open descriptors of a process.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), errors.Trace(err)
}
