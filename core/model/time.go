package model

import "time"

// Now is a reading of both clocks of a machine. Each clock counts from an
// arbitrary start.
type Now struct {
	// Mono does not advance while the machine sleeps (CLOCK_MONOTONIC).
	Mono time.Duration
	// Boot also advances while the machine sleeps (CLOCK_BOOTTIME). All
	// deadlines are on this clock.
	Boot time.Duration
}

// NoWake is what NextWake returns when no timer is set.
const NoWake time.Duration = 1<<63 - 1
