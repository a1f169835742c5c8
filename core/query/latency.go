package query

import (
	"math"
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// reportHalfLife is the age at which a load report or a latency counts half.
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

// latency is the moving average of the target. An average above that of the
// group returns to it with age, so that a target that was slow is tried again.
func (e *Engine) latency(i int32) time.Duration {
	t := &e.targets[i]
	mean := e.groups[t.group].latency.mean
	if t.latency <= mean {
		return t.latency
	}
	return mean + time.Duration(float64(t.latency-mean)*weight(e.now-t.latencyAt))
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

// sample adds a latency to the estimates of the target and its group.
func (e *Engine) sample(a *attempt, d time.Duration) {
	t := &e.targets[a.target]
	t.latency = average(t.latency, max(d-a.wait, d/4))
	t.latencyAt = e.now
	e.groups[t.group].latency.add(d)
}

// abandoned takes the time for which a cancelled attempt has gone without an
// answer as its latency, if that is more than expected. Without it a target
// whose answers are always overtaken would never be known as slow.
func (e *Engine) abandoned(a *attempt) {
	if d := e.now - a.sent; d-a.wait > e.targets[a.target].latency {
		e.sample(a, d)
	}
}

const (
	quantileSamples = 64
	quantileFirst   = 4  // samples before the first computation
	quantileRefresh = 16 // most samples between two computations
	hedgeQuantile   = 95 // per cent
)

// quantile estimates the mean and the 95th percentile of recent latencies.
type quantile struct {
	mean   time.Duration
	p95    time.Duration
	recent []time.Duration
	next   int
	added  int
	sorted []time.Duration
}

func (q *quantile) add(d time.Duration) {
	q.mean = average(q.mean, d)
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
