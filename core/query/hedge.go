package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// hedgeDelayStretch bounds the extension of the hedge delay. With an empty hedge
// budget, hedgeDelayStretch times the 95th percentile is added to the delay; with a
// partly used budget, proportionally less. One in twenty sub-requests is slower
// than the percentile, but with the default HedgeShare of 0.02 the budget covers
// only one in fifty. Without the extension, ordinary latencies would use up the
// budget and leave nothing for stragglers.
const hedgeDelayStretch = 2

// hedgeDelay returns the time after which a sub-request to the group is hedged,
// that is, sent to a second replica. A value of model.NoWake/2 stands for never:
// unlike model.NoWake, it does not overflow when the present time is added.
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
		// The group has too few latency samples.
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
// deadline of the call. It is always true for the baseline policies, which have no
// estimates.
func (e *Engine) hedgeCanAnswer(c *call, t int32) bool {
	return e.bypassesLeads() || e.now+e.expectedTime(t) < c.deadline
}

// takeHedgeToken takes a token from the hedge budget and reports whether a hedge
// may be sent. PolicyFixedHedge has no budget.
func (e *Engine) takeHedgeToken() bool {
	return e.cfg.Policy == model.PolicyFixedHedge || e.hedgeBudget.withdraw()
}
