package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// hedgeStretch is by how much of the 95th percentile the delay grows as the
// budget is used up. One in twenty sub-requests passes the percentile, but the
// budget covers one in fifty: without it ordinary latencies use the budget up
// and nothing is left for stragglers.
const hedgeStretch = 2

// hedgeDelay is the time after which a second replica of the group is asked.
func (e *Engine) hedgeDelay(g int32) time.Duration {
	switch e.cfg.Policy {
	case model.PolicyNaive:
		return model.NoWake / 2
	case model.PolicyFixedHedge:
		return e.cfg.FixedHedgeDelay
	}
	if e.limits.HedgeShare <= 0 {
		return model.NoWake / 2
	}
	p95 := e.groups[g].latency.p95
	if p95 == 0 {
		// Nothing is known of the group yet.
		return model.NoWake / 2
	}
	used := 1 - e.hedges.tokens/e.hedges.burst
	return max(p95+time.Duration(float64(p95)*hedgeStretch*used), e.limits.HedgeFloor)
}

// hedge asks a second replica for each group whose delay has passed. It
// returns the time at which the next hedge may be due.
func (e *Engine) hedge(i int32) time.Duration {
	c := e.calls.at(i)
	next := model.NoWake
	for k := range c.search.parts {
		p := &c.search.parts[k]
		if p.state != partOpen || p.pending != 1 || p.hedged {
			continue
		}
		if e.now < p.hedgeAt {
			next = min(next, p.hedgeAt)
			continue
		}
		p.hedged = true
		t := e.chooseReplica(c, p, e.attempts.at(p.attempts).target)
		if t == none || !e.maySend() || !e.hedgeHelps(c, t) || !e.mayHedge() {
			continue
		}
		c.search.stats.Hedges++
		e.startSearchAttempt(i, int32(k), t, true)
	}
	e.flushRelays(c)
	return next
}

// hedgeHelps reports whether the second replica can answer before the deadline.
func (e *Engine) hedgeHelps(c *call, t int32) bool {
	return e.direct() || e.now+e.expected(t) < c.deadline
}

func (e *Engine) mayHedge() bool {
	return e.cfg.Policy == model.PolicyFixedHedge || e.hedges.spend()
}
