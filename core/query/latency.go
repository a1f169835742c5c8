package query

import (
	"math"
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// reportHalfLife is the age at which a load report counts half.
const reportHalfLife = time.Second

func weight(age time.Duration) float64 {
	if age < time.Millisecond {
		return 1
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

// relayWait is the lead's last report of its queue, less with age, and what
// this instance has sent since.
func (t *target) relayWait(now time.Duration) time.Duration {
	d := t.wait
	if d > 0 {
		d = time.Duration(float64(d) * weight(now-t.waitAt))
	}
	if t.sentSince > t.leadLevel && t.leadLevel > 0 {
		d += t.latency * time.Duration(t.sentSince-t.leadLevel) / time.Duration(t.leadLevel)
	}
	return d
}

const (
	// A target is slow if its latency is above slowFactor times that of the
	// best replica of its group. It gets a trial after trialMin, and after each
	// trial that shows it as slow the time doubles, up to trialMax. A search
	// asks the best replica as well, so that it does not wait for the trial:
	// with 8 instances and a slow replica in each of 20 groups, every search
	// waited for one.
	slowFactor = 2
	trialMin   = 2 * time.Second
	trialMax   = 60 * time.Second
)

// latency is the moving average of the target, without the wait at its lead.
func (e *Engine) latency(i int32) time.Duration { return e.targets[i].latency }

// trialLatency counts a slow target as fast when a trial is due.
func (e *Engine) trialLatency(i int32) time.Duration {
	if t := &e.targets[i]; e.trialDue(t) {
		return e.bestLatency(t.group)
	}
	return e.latency(i)
}

// trialReplica returns a slow replica of the part's group whose trial is due,
// none if there is none or the hedges need what is left of the budget.
func (e *Engine) trialReplica(c *call, p *part) int32 {
	if e.direct() || e.hedges.tokens < e.hedges.burst/2 {
		return none
	}
	for _, i := range e.groups[p.group].replicas {
		if t := &e.targets[i]; e.trialDue(t) && !contains(p.tried, i) && e.serves(i, c.search.snapshot) && !e.isLeadLost(t) {
			return i
		}
	}
	return none
}

func (e *Engine) trialDue(t *target) bool {
	return e.now-t.latencyAt >= max(t.trialAfter, trialMin) && t.latency > slowFactor*e.bestLatency(t.group)
}

// noLatency is above every latency. Its product with slowFactor or jumpFactor
// does not overflow.
const noLatency time.Duration = math.MaxInt64 / max(slowFactor, jumpFactor)

// bestLatency is the lowest latency of the group's targets that may get work,
// noLatency if there are none.
func (e *Engine) bestLatency(g int32) time.Duration {
	best := noLatency
	for _, i := range e.groups[g].replicas {
		if t := &e.targets[i]; e.usable(t) {
			best = min(best, t.latency)
		}
	}
	return best
}

// noteStall takes over that the lead found every request at the target overdue,
// that is, jumpFactor times as old as usual.
func (e *Engine) noteStall(a *attempt, o *outcome) {
	if o.err != model.KindTargetStalled {
		return
	}
	t := &e.targets[a.target]
	t.latencyAt = e.now
	if best := e.bestLatency(t.group); best < noLatency {
		t.latency = max(t.latency, jumpFactor*best)
	}
}

// observe takes what an outcome says about the target and its lead.
func (e *Engine) observe(a *attempt, o *outcome) {
	t := &e.targets[a.target]
	if o.relayed && t.lead.Instance == a.lead && o.level > 0 {
		t.wait, t.waitAt, t.leadLevel, t.sentSince = o.wait, e.now, o.level, 0
	}
	if o.err == model.KindNone {
		t.movedUntil = 0
		e.sample(a, e.now-a.sent)
	}
}

// sample adds a latency to the estimates of the target and its group. A trial
// says nothing about the latency that the group usually has.
func (e *Engine) sample(a *attempt, d time.Duration) {
	t := &e.targets[a.target]
	own := max(d-a.wait, d/4)
	t.latencyAt = e.now
	switch {
	case !a.trial:
		t.latency = average(t.latency, own)
		e.groups[t.group].latency.add(d)
	case own <= slowFactor*e.bestLatency(t.group):
		t.latency, t.trialAfter = own, 0
	default:
		t.latency = average(t.latency, own)
		t.delayTrial()
	}
}

func (t *target) delayTrial() { t.trialAfter = min(2*max(t.trialAfter, trialMin), trialMax) }

// abandoned takes the time for which a cancelled attempt has gone without an
// answer as its latency, if that is more than expected. Without it a target
// whose answers are always overtaken would never be known as slow.
func (e *Engine) abandoned(a *attempt) {
	t := &e.targets[a.target]
	if d := e.now - a.sent; d-a.wait > t.latency {
		e.sample(a, d)
	} else if a.trial {
		t.delayTrial()
	}
}

const (
	quantileSamples = 64
	quantileFirst   = 4  // samples before the first computation
	quantileRefresh = 16 // most samples between two computations
	hedgeQuantile   = 95 // per cent
)

// quantile estimates the 95th percentile of recent latencies.
type quantile struct {
	p95    time.Duration
	recent []time.Duration
	next   int
	added  int
	sorted []time.Duration
}

func (q *quantile) add(d time.Duration) {
	if len(q.recent) < quantileSamples {
		q.recent = append(q.recent, d)
	} else {
		q.recent[q.next] = d
		q.next = (q.next + 1) % quantileSamples
	}
	q.added++
	if n := len(q.recent); n < quantileFirst || q.added < min(quantileRefresh, n/2) {
		return
	}
	q.added = 0
	q.sorted = append(q.sorted[:0], q.recent...)
	slices.Sort(q.sorted)
	q.p95 = q.sorted[(len(q.sorted)*hedgeQuantile-1)/100]
}
