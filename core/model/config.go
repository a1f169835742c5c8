package model

import "time"

// Policy selects how sub-requests are sent. Every policy except PolicyFull is a
// baseline for measurements.
type Policy string

// The values of Policy.
const (
	// PolicyFull is the policy for production use.
	PolicyFull Policy = "full"
	// PolicyNaive sends each sub-request directly to a single random replica,
	// without hedging, retries, leads or warm-up.
	PolicyNaive Policy = "naive"
	// PolicyFixedHedge is PolicyNaive with a hedge after a fixed delay.
	PolicyFixedHedge Policy = "fixed-hedge"
	// PolicyNoSharing is PolicyFull with every instance leading every target.
	PolicyNoSharing Policy = "no-sharing"
)

// CoreConfig configures the decision core.
type CoreConfig struct {
	Self        InstanceID
	Incarnation Incarnation
	Address     string // IP address and port of the gRPC listener
	Place       PlaceID
	Seed        uint64 // of the random number generators
	Policy      Policy
	// FixedHedgeDelay is used by PolicyFixedHedge only.
	FixedHedgeDelay time.Duration
	// BalancerDelay is how long a stopping instance keeps serving while the
	// balancer removes it from rotation.
	BalancerDelay time.Duration
	// StopTimeout is the longest time that a graceful stop may take.
	StopTimeout time.Duration
}
