package query

import (
	"math"
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// reportHalfLife is the age at which a load report counts half.
const reportHalfLife = time.Second

func reportWeight(age time.Duration) float64 {
	if age < time.Millisecond {
		return 1
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

// relayWait is the lead's last report of its queue, less with age, and what
// this instance has sent since.
func (t *target) relayWait(now time.Duration) time.Duration {
	d := t.reportedWait
	if d > 0 {
		d = time.Duration(float64(d) * reportWeight(now-t.reportedAt))
	}
	if t.sentSinceReport > t.reportedLevel && t.reportedLevel > 0 {
		d += t.latency * time.Duration(t.sentSinceReport-t.reportedLevel) / time.Duration(t.reportedLevel)
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
	slowFactor    = 2
	minTrialDelay = 2 * time.Second
	maxTrialDelay = 60 * time.Second
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
	if e.bypassesLeads() || e.hedgeBudget.tokens < e.hedgeBudget.burst/2 {
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
	return e.now-t.sampledAt >= max(t.trialDelay, minTrialDelay) && t.latency > slowFactor*e.bestLatency(t.group)
}

// unknownLatency is above every latency. Its product with slowFactor or jumpFactor
// does not overflow.
const unknownLatency time.Duration = math.MaxInt64 / max(slowFactor, jumpFactor)

// bestLatency is the lowest latency of the group's targets that may get work,
// noLatency if there are none.
func (e *Engine) bestLatency(g int32) time.Duration {
	best := unknownLatency
	for _, i := range e.groups[g].replicas {
		if t := &e.targets[i]; e.usable(t) {
			best = min(best, t.latency)
		}
	}
	return best
}

// recordStall takes over that the lead found every request at the target overdue,
// that is, jumpFactor times as old as usual.
func (e *Engine) recordStall(a *attempt, o *outcome) {
	if o.kind != model.KindTargetStalled {
		return
	}
	t := &e.targets[a.target]
	t.sampledAt = e.now
	if best := e.bestLatency(t.group); best < unknownLatency {
		t.latency = max(t.latency, jumpFactor*best)
	}
}

// observeOutcome takes what an outcome says about the target and its lead.
func (e *Engine) observeOutcome(a *attempt, o *outcome) {
	t := &e.targets[a.target]
	if o.relayed && t.lead.Instance == a.lead && o.level > 0 {
		t.reportedWait, t.reportedAt, t.reportedLevel, t.sentSinceReport = o.queueWait, e.now, o.level, 0
	}
	if o.kind == model.KindNone {
		t.handoverUntil = 0
		e.recordLatency(a, e.now-a.sentAt)
	}
}

// recordLatency adds a latency to the estimates of the target and its group. A trial
// says nothing about the latency that the group usually has.
func (e *Engine) recordLatency(a *attempt, d time.Duration) {
	t := &e.targets[a.target]
	own := max(d-a.expectedWait, d/4)
	t.sampledAt = e.now
	switch {
	case !a.trial:
		t.latency = movingAverage(t.latency, own)
		e.groups[t.group].latency.add(d)
	case own <= slowFactor*e.bestLatency(t.group):
		t.latency, t.trialDelay = own, 0
	default:
		t.latency = movingAverage(t.latency, own)
		t.doubleTrialDelay()
	}
}

func (t *target) doubleTrialDelay() {
	t.trialDelay = min(2*max(t.trialDelay, minTrialDelay), maxTrialDelay)
}

// recordAbandoned takes the time for which a cancelled attempt has gone without an
// answer as its latency, if that is more than expected. Without it a target
// whose answers are always overtaken would never be known as slow.
func (e *Engine) recordAbandoned(a *attempt) {
	t := &e.targets[a.target]
	if d := e.now - a.sentAt; d-a.expectedWait > t.latency {
		e.recordLatency(a, d)
	} else if a.trial {
		t.doubleTrialDelay()
	}
}

const (
	quantileSamples        = 64
	quantileMinSamples     = 4  // samples before the first computation
	quantileRefreshSamples = 16 // most samples between two computations
	hedgePercentile        = 95 // per cent
)

// quantile estimates the 95th percentile of recent latencies.
type quantile struct {
	p95               time.Duration
	recent            []time.Duration
	next              int
	addedSinceRefresh int
	sorted            []time.Duration
}

func (q *quantile) add(d time.Duration) {
	if len(q.recent) < quantileSamples {
		q.recent = append(q.recent, d)
	} else {
		q.recent[q.next] = d
		q.next = (q.next + 1) % quantileSamples
	}
	q.addedSinceRefresh++
	if n := len(q.recent); n < quantileMinSamples || q.addedSinceRefresh < min(quantileRefreshSamples, n/2) {
		return
	}
	q.addedSinceRefresh = 0
	q.sorted = append(q.sorted[:0], q.recent...)
	slices.Sort(q.sorted)
	q.p95 = q.sorted[(len(q.sorted)*hedgePercentile-1)/100]
}
