package model

import "time"

// Now is a reading of both clocks of a machine, each since an arbitrary start.
type Now struct {
	// Mono does not advance while the machine sleeps (CLOCK_MONOTONIC).
	Mono time.Duration
	// Boot also counts sleep (CLOCK_BOOTTIME). All deadlines are on Boot.
	Boot time.Duration
}

// NoWake is the value of NextWake when no timer is set.
const NoWake time.Duration = 1<<63 - 1
