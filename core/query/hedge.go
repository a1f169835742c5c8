package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// hedgeDelayStretch is by how much of the 95th percentile the delay grows as the
// budget is used up. One in twenty sub-requests passes the percentile, but the
// budget covers one in fifty: without it ordinary latencies use the budget up
// and nothing is left for stragglers.
const hedgeDelayStretch = 2

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
	used := 1 - e.hedgeBudget.tokens/e.hedgeBudget.burst
	return max(p95+time.Duration(float64(p95)*hedgeDelayStretch*used), e.limits.HedgeFloor)
}

// sendDueHedges asks a second replica for each group whose delay has passed. It
// returns the time at which the next hedge may be due.
func (e *Engine) sendDueHedges(i int32) time.Duration {
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
		t := e.chooseReplica(c, p, e.attempts.at(p.firstAttempt).target)
		if t == none || !e.maySend() || !e.hedgeCanAnswer(c, t) || !e.takeHedgeToken() {
			continue
		}
		c.search.stats.Hedges++
		e.startSearchAttempt(i, int32(k), t, true)
	}
	e.flushSearchRelays(c)
	return next
}

// hedgeCanAnswer reports whether the second replica can answer before the deadline.
func (e *Engine) hedgeCanAnswer(c *call, t int32) bool {
	return e.bypassesLeads() || e.now+e.expectedTime(t) < c.deadline
}

func (e *Engine) takeHedgeToken() bool {
	return e.cfg.Policy == model.PolicyFixedHedge || e.hedgeBudget.withdraw()
}
