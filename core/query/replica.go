package query

import (
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// bypassesLeads reports whether the policy is one of the baselines, which send
// directly to targets that other instances lead.
func (e *Engine) bypassesLeads() bool {
	return e.cfg.Policy == model.PolicyNaive || e.cfg.Policy == model.PolicyFixedHedge
}

// isUsable reports whether the target may get new work: it is eligible, has a lead,
// and is not known to be down.
func (e *Engine) isUsable(t *target) bool {
	return t.eligible && (t.lead.Instance != "" || e.bypassesLeads()) && (!t.info.Known || t.info.Level > 0)
}

// chooseReplica returns the untried replica of the part's group that is expected
// to answer first, or none. For a hedge, avoid is the target of the first attempt
// (otherwise none): replicas with the same remote lead are left out, because that
// lead may be the cause of the delay.
func (e *Engine) chooseReplica(c *call, p *part, avoid int32) int32 {
	best, bestTime, ties := none, time.Duration(0), 1
	for _, i := range e.groups[p.group].replicas {
		if contains(p.tried, i) || !e.serves(i, c.search.snapshot) {
			continue
		}
		if avoid != none && e.sameRemoteLead(i, avoid) {
			continue
		}
		best, bestTime, ties = e.pickBetter(i, e.expectedTime(i), best, bestTime, ties)
	}
	return best
}

func (e *Engine) sameRemoteLead(a, b int32) bool {
	x, y := &e.targets[a].lead, &e.targets[b].lead
	return !e.bypassesLeads() && !x.Self && x.Instance == y.Instance
}

// pickBetter compares target i with the best target so far and returns the new
// best, its expected time and the number of targets with that time. Ties are
// broken at random, so that entry instances without estimates spread their work.
func (e *Engine) pickBetter(i int32, candidateTime time.Duration, best int32, bestTime time.Duration, ties int) (int32, time.Duration, int) {
	switch {
	case best == none || candidateTime < bestTime:
		return i, candidateTime, 1
	case candidateTime > bestTime:
		return best, bestTime, ties
	}
	ties++
	if e.rng.IntN(ties) == 0 {
		return i, candidateTime, ties
	}
	return best, bestTime, ties
}

// expectedTime returns the expected time until the target answers new work. It is
// zero for the baseline policies.
func (e *Engine) expectedTime(i int32) time.Duration { return e.expectedTimeWith(i, e.latency(i)) }

// expectedTimeWith is expectedTime with the given latency of the target.
func (e *Engine) expectedTimeWith(i int32, latency time.Duration) time.Duration {
	if e.bypassesLeads() {
		return 0
	}
	t := &e.targets[i]
	d := e.expectedWait(i) + latency
	if e.inHandover(t) || e.isLeadLost(t) {
		d += view.HandoverTimeout
	}
	return d
}

// expectedWait returns the expected wait for a slot at the lead of the target.
func (e *Engine) expectedWait(i int32) time.Duration {
	if t := &e.targets[i]; !t.lead.Self {
		return t.relayWait(e.now)
	}
	return e.queueWait(i)
}

func contains(list []int32, i int32) bool {
	for _, x := range list {
		if x == i {
			return true
		}
	}
	return false
}
