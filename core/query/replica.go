package query

import (
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// bypassesLeads reports whether the policy sends to targets without their leads.
func (e *Engine) bypassesLeads() bool {
	return e.cfg.Policy == model.PolicyNaive || e.cfg.Policy == model.PolicyFixedHedge
}

// usable reports whether the target may get new work.
func (e *Engine) usable(t *target) bool {
	return t.eligible && (t.lead.Instance != "" || e.bypassesLeads()) && (!t.info.Known || t.info.Level > 0)
}

// chooseReplica returns the replica of the part's group that is expected to
// answer first, none if there is none that has not been asked. A hedge avoids
// the remote lead of the first attempt, which may be what is slow.
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

// pickBetter returns the better of a target and the best so far. Equal ones are
// chosen at random, so that entries without knowledge spread their work.
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

// expectedTime is the time until an answer of new work for the target. The
// baselines know nothing of it.
func (e *Engine) expectedTime(i int32) time.Duration { return e.expectedTimeWith(i, e.latency(i)) }

func (e *Engine) expectedTimeWith(i int32, latency time.Duration) time.Duration {
	if e.bypassesLeads() {
		return 0
	}
	t := &e.targets[i]
	d := e.expectedWait(i) + latency
	if e.inHandover(t) || e.isLeadLost(t) {
		d += view.HandoverWait
	}
	return d
}

// expectedWait is the expected wait for a slot at the lead of the target.
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
