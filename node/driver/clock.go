package driver

import (
	"time"

	"golang.org/x/sys/unix"

	"galenadyke.dev/core/model"
)

// Clock reads the two clocks of the decision core, Mono and Boot.
type Clock interface{ Now() model.Now }

// SystemClock reads the clocks of the machine.
type SystemClock struct{}

// Now reads CLOCK_MONOTONIC and CLOCK_BOOTTIME.
func (SystemClock) Now() model.Now {
	return model.Now{Mono: readClock(unix.CLOCK_MONOTONIC), Boot: readClock(unix.CLOCK_BOOTTIME)}
}

// Boot reads CLOCK_BOOTTIME only.
func (SystemClock) Boot() time.Duration { return readClock(unix.CLOCK_BOOTTIME) }

func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		// Both clocks exist on every supported kernel (Linux 2.6.39).
		panic("clock_gettime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
