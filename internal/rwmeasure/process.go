package rwmeasure

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// cpuSeconds is the processor time that a process has used.
func cpuSeconds(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	// The fields after the command's name, which is in parentheses.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, errors.Errorf("process %d: no times", pid)
	}
	u, _ := strconv.ParseFloat(fields[user], 64)
	s, _ := strconv.ParseFloat(fields[system], 64)
	return (u + s) / ticksPerSecond, nil
}

// residentBytes is the memory that a process holds.
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
	return 0, errors.Errorf("process %d: no resident size", pid)
}
