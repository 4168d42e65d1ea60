package rwmeasure

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// ticksPerSecond is USER_HZ, the clock tick in which /proc/PID/stat counts CPU time.
const ticksPerSecond = 100

// cpuSeconds returns the user and system CPU time that a process has used.
func cpuSeconds(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	// The command's name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	// Indexes of utime and stime. The first field after the name is the state, the
	// third in proc(5).
	const utimeIndex, stimeIndex = 11, 12
	if len(fields) <= stimeIndex {
		return 0, errors.Errorf("/proc/%d/stat has no CPU times", pid)
	}
	u, _ := strconv.ParseFloat(fields[utimeIndex], 64)
	s, _ := strconv.ParseFloat(fields[stimeIndex], 64)
	return (u + s) / ticksPerSecond, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	for _, line := range strings.Split(string(content), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes * 1024, errors.Trace(err)
		}
	}
	return 0, errors.Errorf("/proc/%d/status has no VmRSS line", pid)
}
