// Package gateway is the decision core of an instance that serves a platform's
// own routes. It matches a request to a route, sends the parts of the request to
// targets, hedges and retries them within a retry budget that the fleet shares,
// and decides when and how the caller is answered.
//
// Like package engine it has no goroutine, clock, random source or I/O of its
// own. A driver steps inputs and ticks:
//
//	g := gateway.New(cfg)
//	g.Step(in)
//	for _, out := range g.Tick(now) {
//		// carry out
//	}
//	wake := g.NextWake()
//
// # State
//
// The tables are requests, attempts, services, targets and members. A request on
// a plain route has one part, which one service answers. A request on a gathering
// route has one part for each of the route's shards, and the answers to the parts
// are merged. A part has one or more attempts, each at a different target. An
// attempt belongs to one part, or to the whole request if another instance gathers
// the answer. The attempt is removed when its AttemptEnded arrives, which may be
// after the request was answered.
//
// # Invariants
//
//   - A request that is not idempotent is sent again only if all earlier attempts
//     are known not to have run.
//   - A request is answered at most once.
//   - The version of the configuration in force never decreases.
//   - A target is sent work only while it is listed as ready, its data centre is
//     not evacuated, and this instance uses less than its share of the target's
//     connections and of the rate limit that the target states. A ready target whose
//     entry lapsed in an outage of the store still counts as listed for lapseGrace.
package gateway
