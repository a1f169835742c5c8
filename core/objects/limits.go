package objects

import "time"

// Limits holds the published limits of the tier. A set has at most one limits
// object; fields that it leaves out take the values of DefaultLimits.
type Limits struct {
	// Name is the name of the limits object.
	Name string
	// MaxBudget is the longest time that a call may ask for.
	MaxBudget time.Duration
	// MaxBodyBytes is the largest body of a call, in bytes.
	MaxBodyBytes int
	// MaxInFlight is the number of calls that an instance serves at once.
	MaxInFlight int
	// HedgeShare is the share of sub-requests that may be hedged, 0 to 1.
	HedgeShare float64
	// RetryShare is the share of sub-requests that may be retried, 0 to 1.
	RetryShare float64
	// HedgeFloor is the shortest delay before a hedge.
	HedgeFloor time.Duration
	// AnswerReserve is the share of the budget that is kept for the way back
	// to the caller, 0 to 1; at least AnswerReserveFloor is kept.
	AnswerReserve      float64
	AnswerReserveFloor time.Duration
	// WarmStep is the number of successful completions in a row that raise a
	// target's warm level by one.
	WarmStep int
	// ReservationTTL is the time for which a booking id is valid after issue.
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

// Bounds of the values that a set may hold. They refuse values that are
// plainly mistakes, such as a wrong unit; they are no advice.
const (
	minMaxBudget      = time.Millisecond
	maxMaxBudget      = 5 * time.Minute
	maxMaxBodyBytes   = 16 << 20
	maxMaxInFlight    = 1 << 20
	maxWarmStep       = 1000
	minReservationTTL = time.Second
	maxReservationTTL = 24 * time.Hour
	// maxAnswerReserve leaves at least half of the budget for the targets.
	maxAnswerReserve = 0.5
	maxConnectTime   = 10 * time.Second
	maxSlots         = 4096
	// maxConnections is the number of TCP ports of one address.
	maxConnections = 65535
	// MaxGeneration is the largest generation. Larger integers are not exact
	// in JSON readers that use floating point.
	MaxGeneration = 1<<53 - 1
)
