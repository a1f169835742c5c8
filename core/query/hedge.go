package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// hedgeDelayStretch is the factor of the 95th percentile that is added to the
// hedge delay when the hedge budget is empty; with a partly used budget it is
// proportionally less. One in twenty sub-requests is slower than the percentile,
// but the budget covers one in fifty. Without the added delay, ordinary latencies
// would use up the budget and leave nothing for stragglers.
const hedgeDelayStretch = 2

// hedgeDelay returns the time after which a sub-request to the group is hedged,
// that is, sent to a second replica. A value of model.NoWake/2 stands for never.
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
		// The latency of the group is not known yet.
		return model.NoWake / 2
	}
	used := 1 - e.hedgeBudget.tokens/e.hedgeBudget.burst
	return max(p95+time.Duration(float64(p95)*hedgeDelayStretch*used), e.limits.HedgeFloor)
}

// sendDueHedges hedges each part whose hedge delay has passed. It returns the time
// at which the next hedge may be due, model.NoWake if none.
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

// hedgeCanAnswer reports whether target t is expected to answer before the
// deadline of the call.
func (e *Engine) hedgeCanAnswer(c *call, t int32) bool {
	return e.bypassesLeads() || e.now+e.expectedTime(t) < c.deadline
}

// takeHedgeToken takes a token from the hedge budget and reports whether a hedge
// may be sent. PolicyFixedHedge has no budget.
func (e *Engine) takeHedgeToken() bool {
	return e.cfg.Policy == model.PolicyFixedHedge || e.hedgeBudget.withdraw()
}
