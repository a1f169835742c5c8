package query

import (
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// direct reports whether the policy sends to targets without their leads.
func (e *Engine) direct() bool {
	return e.cfg.Policy == model.PolicyNaive || e.cfg.Policy == model.PolicyFixedHedge
}

// usable reports whether the target may get new work.
func (e *Engine) usable(t *target) bool {
	return t.eligible && (t.lead.Instance != "" || e.direct()) && (!t.info.Known || t.info.Level > 0)
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
		best, bestTime, ties = e.better(i, best, bestTime, ties)
	}
	return best
}

func (e *Engine) sameRemoteLead(a, b int32) bool {
	x, y := &e.targets[a].lead, &e.targets[b].lead
	return !e.direct() && !x.Self && x.Instance == y.Instance
}

// better returns the better of a target and the best so far. Equal ones are
// chosen at random, so that entries without knowledge spread their work.
func (e *Engine) better(i, best int32, bestTime time.Duration, ties int) (int32, time.Duration, int) {
	var expected time.Duration
	if !e.direct() {
		expected = e.expected(i)
	}
	switch {
	case best == none || expected < bestTime:
		return i, expected, 1
	case expected > bestTime:
		return best, bestTime, ties
	}
	ties++
	if e.rng.IntN(ties) == 0 {
		return i, expected, ties
	}
	return best, bestTime, ties
}

// expected is the time until an answer of new work for the target.
func (e *Engine) expected(i int32) time.Duration {
	t := &e.targets[i]
	d := e.wait(i) + e.latency(i)
	if e.inHandover(t) {
		d += view.HandoverWait
	}
	return d
}

// wait is the expected wait for a slot at the lead of the target.
func (e *Engine) wait(i int32) time.Duration {
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
