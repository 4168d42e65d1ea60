package rwaccount

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// bodyRetryAfter is sent with the refusal of a body.
const bodyRetryAfter = time.Second

// MachineMemory returns the bytes of memory that the machine, or the control group of this
// process, has; zero if the system doesn't tell.
func MachineMemory() int {
	memory := 0
	if info, err := os.ReadFile("/proc/meminfo"); err == nil {
		_, rest, _ := strings.Cut(string(info), "MemTotal:")
		if fields := strings.Fields(rest); len(fields) > 0 {
			kilobytes, _ := strconv.Atoi(fields[0]) // zero if it is no number
			memory = kilobytes << 10
		}
	}
	if text, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if limit, err := strconv.Atoi(strings.TrimSpace(string(text))); err == nil && limit > 0 && (memory == 0 || limit < memory) {
			memory = limit
		}
	}
	return memory
}
