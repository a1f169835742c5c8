package model

import "time"

// Policy selects how sub-requests are sent. All but PolicyFull are baselines
// for measurements.
type Policy string

// The policies.
const (
	// PolicyFull is the product's policy.
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
	Seed        uint64
	Policy      Policy
	// FixedHedgeDelay is used by PolicyFixedHedge only.
	FixedHedgeDelay time.Duration
	// BalancerDelay is the time that a stopping instance goes on serving
	// while the balancer takes it out.
	BalancerDelay time.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
}
