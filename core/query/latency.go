package query

import (
	"math"
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// reportHalfLife is the age at which the wait that a lead reported counts half.
const reportHalfLife = time.Second

// reportWeight returns the weight of a report, from 1 when new down to 0.
func reportWeight(age time.Duration) float64 {
	if age < time.Millisecond {
		return 1
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

// relayWait estimates the wait at a remote lead. It is the wait that the lead last
// reported, reduced with the age of the report. Sub-requests that this instance has
// sent since and that are still in progress add to the wait if there are more of
// them than the warm-up level in the report.
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
	// fastest replica of its group. A slow target gets few requests, so it gets
	// a trial after minTrialDelay, which shows whether it has become fast.
	// Each trial that finds the target still slow doubles the delay, up to
	// maxTrialDelay. A search sends the trial in addition to a request to the
	// best replica, so that it does not wait for the trial: without this, with 8
	// instances and a slow replica in each of 20 groups, every search waited for
	// a trial.
	slowFactor    = 2
	minTrialDelay = 2 * time.Second
	maxTrialDelay = 60 * time.Second
)

// latency returns the moving average of the target's latency without the wait at
// its lead, zero if unknown.
func (e *Engine) latency(i int32) time.Duration { return e.targets[i].latency }

// trialLatency returns the latency to use when the target is compared with the
// other targets of its group. A slow target whose trial is due counts as the
// fastest.
func (e *Engine) trialLatency(i int32) time.Duration {
	if t := &e.targets[i]; e.isTrialDue(t) {
		return e.bestLatency(t.group)
	}
	return e.latency(i)
}

// trialReplica returns a slow replica of the part's group whose trial is due. It
// returns none if no trial is due, or if less than half of the hedge budget is
// left, which is kept for hedges.
func (e *Engine) trialReplica(c *call, p *part) int32 {
	if e.bypassesLeads() || e.hedgeBudget.tokens < e.hedgeBudget.burst/2 {
		return none
	}
	for _, i := range e.groups[p.group].replicas {
		if t := &e.targets[i]; e.isTrialDue(t) && !contains(p.tried, i) && e.serves(i, c.search.snapshot) && !e.isLeadLost(t) {
			return i
		}
	}
	return none
}

// isTrialDue reports whether the target is slow and its next trial is due.
func (e *Engine) isTrialDue(t *target) bool {
	return e.now-t.sampledAt >= max(t.trialDelay, minTrialDelay) && t.latency > slowFactor*e.bestLatency(t.group)
}

// unknownLatency is the best latency of a group without usable targets. It is
// above every latency, and its product with slowFactor or jumpFactor does not
// overflow.
const unknownLatency time.Duration = math.MaxInt64 / max(slowFactor, jumpFactor)

// bestLatency returns the lowest latency of the group's usable targets,
// unknownLatency if there are none.
func (e *Engine) bestLatency(g int32) time.Duration {
	best := unknownLatency
	for _, i := range e.groups[g].replicas {
		if t := &e.targets[i]; e.isUsable(t) {
			best = min(best, t.latency)
		}
	}
	return best
}

// recordStall raises the latency of a target that its lead reported as stalled to
// at least jumpFactor times the lowest latency of the group, so that the target
// counts as slow.
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

// observeOutcome updates the estimates of the target's latency and of the wait at
// its lead from the outcome of an attempt.
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

// recordLatency adds the elapsed time of an attempt to the estimates of the target
// and its group. For the target, the expected wait at the lead is subtracted, but
// at least a quarter of the elapsed time counts. A trial that finds the target fast
// replaces the target's estimate. Trials are left out of the estimate of the
// group, because searches normally avoid the slow target.
func (e *Engine) recordLatency(a *attempt, elapsed time.Duration) {
	t := &e.targets[a.target]
	latency := max(elapsed-a.expectedWait, elapsed/4)
	t.sampledAt = e.now
	switch {
	case !a.trial:
		t.latency = movingAverage(t.latency, latency)
		e.groups[t.group].latency.add(elapsed)
	case latency <= slowFactor*e.bestLatency(t.group):
		t.latency, t.trialDelay = latency, 0
	default:
		t.latency = movingAverage(t.latency, latency)
		t.doubleTrialDelay()
	}
}

func (t *target) doubleTrialDelay() {
	t.trialDelay = min(2*max(t.trialDelay, minTrialDelay), maxTrialDelay)
}

// recordAbandoned records the age of a cancelled attempt as its latency, if the
// age without the expected wait is above the estimate. Without this, a target whose
// attempts are always cancelled, because a hedge answers first, would never be
// found to be slow.
func (e *Engine) recordAbandoned(a *attempt) {
	t := &e.targets[a.target]
	if elapsed := e.now - a.sentAt; elapsed-a.expectedWait > t.latency {
		e.recordLatency(a, elapsed)
	} else if a.trial {
		t.doubleTrialDelay()
	}
}

const (
	quantileSamples        = 64
	quantileMinSamples     = 4  // samples before p95 is first computed
	quantileRefreshSamples = 16 // largest number of samples between two computations of p95
	hedgePercentile        = 95 // per cent
)

// quantile estimates the 95th percentile of the last quantileSamples latencies.
type quantile struct {
	p95               time.Duration // zero before the first computation
	recent            []time.Duration
	next              int // index of the oldest sample once recent is full
	addedSinceRefresh int
	sorted            []time.Duration // scratch space
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
