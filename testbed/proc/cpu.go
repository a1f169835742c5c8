package proc

import (
	"bytes"
	"fmt"
	"os"
	"time"
)

// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat.
// Linux fixes it at 100 on every architecture that Go supports.
const ticksPerSecond = 100

// CPUTime returns the user and system CPU time that a process has used so far.
// It fails if the process has ended.
func CPUTime(pid int) (time.Duration, error) {
	path := fmt.Sprintf("/proc/%d/stat", pid)
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	// The second field is the program's name in parentheses, which may contain
	// spaces; scan the fields after it.
	fields := raw[bytes.LastIndexByte(raw, ')')+1:]
	var state string
	var skipped [10]int64 // the fields between the state and the user time
	var user, system int64
	args := []any{&state}
	for i := range skipped {
		args = append(args, &skipped[i])
	}
	if _, err := fmt.Sscan(string(fields), append(args, &user, &system)...); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}
