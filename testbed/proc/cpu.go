package proc

import (
	"bytes"
	"fmt"
	"os"
	"time"
)

// ticksPerSecond is the unit of /proc/PID/stat, which Linux fixes at 100 on
// every architecture that Go supports.
const ticksPerSecond = 100

// CPUTime returns the processor time, user and system, of a process.
func CPUTime(pid int) (time.Duration, error) {
	path := fmt.Sprintf("/proc/%d/stat", pid)
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	// The second field, the program's name in parentheses, may hold spaces.
	rest := raw[bytes.LastIndexByte(raw, ')')+1:]
	var state string
	var skipped [10]int64
	var user, system int64
	args := []any{&state}
	for i := range skipped {
		args = append(args, &skipped[i])
	}
	if _, err := fmt.Sscan(string(rest), append(args, &user, &system)...); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}
