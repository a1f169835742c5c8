package objects

import "time"

// Limits holds the published limits of the tier. A set has at most one limits
// object. Fields missing from it take their values from DefaultLimits.
type Limits struct {
	// Name is the name of the limits object, or "limits" if the set has none.
	Name string
	// MaxBudget is the longest time budget that a call may request.
	MaxBudget time.Duration
	// MaxBodyBytes is the largest permitted body of a call, in bytes.
	MaxBodyBytes int
	// MaxInFlight is the largest number of calls that an instance serves at
	// the same time.
	MaxInFlight int
	// HedgeShare is the share of sub-requests that may be hedged, 0 to 1.
	HedgeShare float64
	// RetryShare is the share of sub-requests that may be retried, 0 to 1.
	RetryShare float64
	// HedgeFloor is the shortest delay before a hedge.
	HedgeFloor time.Duration
	// AnswerReserve is the share of a call's budget, 0 to 0.5, that is reserved
	// for returning the answer to the caller. The reserve is at least
	// AnswerReserveFloor.
	AnswerReserve      float64
	AnswerReserveFloor time.Duration
	// WarmStep is the number of consecutive successful completions that raise
	// a target's warm-up level by one.
	WarmStep int
	// ReservationTTL is the time from the issue of a booking id to its expiry.
	ReservationTTL time.Duration
}

// DefaultLimits returns the limits of a set without a limits object.
func DefaultLimits() Limits {
	return Limits{
		Name:               "limits",
		MaxBudget:          10 * time.Second,
		MaxBodyBytes:       64 << 10,
		MaxInFlight:        512,
		HedgeShare:         0.02,
		RetryShare:         0.10,
		HedgeFloor:         2 * time.Millisecond,
		AnswerReserve:      0.05,
		AnswerReserveFloor: 5 * time.Millisecond,
		WarmStep:           8,
		ReservationTTL:     10 * time.Minute,
	}
}

// Bounds of the values that a set may hold. They catch obvious mistakes, such
// as a wrong unit, and are not recommended values.
const (
	minMaxBudget      = time.Millisecond
	maxMaxBudget      = 5 * time.Minute
	maxMaxBodyBytes   = 16 << 20
	maxMaxInFlight    = 1 << 20 // calls of one instance
	maxWarmStep       = 1000    // completions
	minReservationTTL = time.Second
	maxReservationTTL = 24 * time.Hour
	// maxAnswerReserve is a share of the budget. At least half of the budget
	// remains for the targets.
	maxAnswerReserve = 0.5
	maxConnectTime   = 10 * time.Second
	maxSlots         = 4096 // slots of one target
	// maxConnections is the number of usable TCP ports of one address.
	maxConnections = 65535
	// MaxGeneration is the largest generation of a set. JSON readers that use
	// floating point do not read larger integers exactly.
	MaxGeneration = 1<<53 - 1
)
