package target

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// target is the state of one target. mu guards the fields below it.
type target struct {
	name string
	ln   *listener

	mu          sync.Mutex
	cfg         Config
	rng         *rand.Rand
	incarnation *incarnation
	running     int
	queue       []chan struct{} // one per waiting request, closed when it gets a slot
	// unfrozen is closed unless the target is frozen.
	unfrozen      chan struct{}
	draining      bool
	truncate      bool
	answersToLose int
	versions      map[uint64]Version
	counts        Counts
	markLabel     string
	lastReport    healthAnswer
	lastReportAt  time.Time
}

// incarnation is the time between two restarts of a target. ended is closed by
// a restart that resets connections.
type incarnation struct {
	number      uint64
	completions int  // requests that ran to the end in this incarnation
	overloads   int  // requests above the capacity of this incarnation
	warm        bool // true if the incarnation has no cold start
	ended       chan struct{}
}

func newTarget(cfg Config, ln *listener) *target {
	t := &target{
		name:        cfg.Name,
		ln:          ln,
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		incarnation: &incarnation{number: cfg.Incarnation, warm: cfg.Cold.Warm, ended: make(chan struct{})},
		unfrozen:    make(chan struct{}),
		versions:    make(map[uint64]Version),
		counts:      newCounts(),
	}
	close(t.unfrozen)
	for _, v := range cfg.Versions {
		t.versions[v.Version] = v
	}
	return t
}

// capacity returns the number of concurrent requests that the current
// incarnation handles without overload.
func (t *target) capacity() int {
	if t.incarnation.warm {
		return t.cfg.Slots
	}
	return min(t.cfg.Slots, 1+t.incarnation.completions/t.cfg.Cold.Completions)
}

// refusal is the reason why a request was not run.
type refusal string

const (
	refusedNone     refusal = ""
	refusedShed     refusal = "shed"
	refusedDraining refusal = "draining"
	refusedVersion  refusal = "version_not_served"
	refusedDeadline refusal = "deadline"
)

// ending is how a request that was not refused ended.
type ending uint8

const (
	endedCompleted  ending = iota
	endedCancelled         // the client cancelled the request
	endedExpired           // the deadline passed while the request ran
	endedRestart           // the target restarted
	endedAnswerLost        // the request ran to the end, but its answer is dropped
)

// outcome is the result of a request.
type outcome struct {
	refusal     refusal
	end         ending
	load        loadReport
	incarnation uint64
	version     Version
	truncate    bool
}

// request is a search or booking as it arrives at the target.
type request struct {
	ctx       context.Context // done when the client cancels the request
	deadline  time.Time       // zero for none
	search    bool            // true for a search, false for a booking
	snapshot  uint64          // index version of a search
	bookingID string
	crashes   bool // the request ends the target when it begins to run
}

// execute admits the request, waits for a slot, runs the request and returns
// its outcome.
func (t *target) execute(req request) outcome {
	t.mu.Lock()
	t.counts.Requests++
	t.counts.RequestsByMark[t.markLabel]++
	t.mu.Unlock()
	if !t.awaitUnfrozen(req.ctx) {
		return t.countOutcome(outcome{end: endedCancelled})
	}

	t.mu.Lock()
	if reason := t.admit(req); reason != refusedNone {
		out := outcome{refusal: reason, load: t.load(), incarnation: t.incarnation.number}
		t.mu.Unlock()
		return out
	}
	inc := t.incarnation
	overCapacity := t.registerRequest(inc)
	if inc != t.incarnation { // registerRequest restarted the target
		t.mu.Unlock()
		return t.countOutcome(outcome{end: endedRestart})
	}
	var granted chan struct{}
	if t.running < t.cfg.Slots {
		t.running++
	} else {
		granted = make(chan struct{})
		t.queue = append(t.queue, granted)
	}
	t.mu.Unlock()

	if granted != nil {
		if out, ok := t.awaitSlot(req, inc, granted); !ok {
			return out
		}
	}
	return t.runInSlot(req, inc, overCapacity)
}

// admit returns the reason to refuse a request on arrival, refusedNone to
// accept it. It counts sheds, wrong versions and expired deadlines.
func (t *target) admit(req request) refusal {
	switch {
	case t.draining:
		return refusedDraining
	case req.search && !t.hasVersion(req.snapshot):
		t.counts.WrongVersion++
		return refusedVersion
	case !req.deadline.IsZero() && !time.Now().Before(req.deadline):
		t.counts.Expired++
		return refusedDeadline
	case t.running >= t.cfg.Slots && len(t.queue) >= t.cfg.QueueLimit:
		t.counts.Sheds++
		return refusedShed
	}
	return refusedNone
}

func (t *target) hasVersion(version uint64) bool {
	_, ok := t.versions[version]
	return ok
}

// registerRequest updates the counts for an admitted request and reports
// whether the request exceeds the capacity of a cold target. The target fails
// over when the number of such requests reaches the overload limit.
func (t *target) registerRequest(inc *incarnation) bool {
	concurrent := t.running + len(t.queue) + 1
	t.counts.MaxConcurrent = max(t.counts.MaxConcurrent, concurrent)
	capacity := t.capacity()
	t.counts.MaxExcess = max(t.counts.MaxExcess, concurrent-capacity)
	if concurrent <= capacity || capacity >= t.cfg.Slots {
		return false
	}
	t.counts.Overloads++
	inc.overloads++
	if limit := t.cfg.Cold.OverloadLimit; limit > 0 && inc.overloads >= limit {
		t.counts.FailOvers++
		t.restart(t.cfg.Cold.RestartTime.D(), true)
	}
	return true
}

// restart starts a new, cold incarnation. With resetConnections it also aborts
// all admitted requests, resets all connections and refuses new ones for downtime.
func (t *target) restart(downtime time.Duration, resetConnections bool) {
	old := t.incarnation
	t.incarnation = &incarnation{number: old.number + 1, ended: make(chan struct{})}
	if !resetConnections {
		return
	}
	t.running, t.queue = 0, nil
	close(old.ended)
	t.ln.resetAll(downtime)
}

// crash ends an incarnation as the end of its process does, unless it has ended before.
func (t *target) crash(inc *incarnation) {
	if inc != t.incarnation {
		return
	}
	t.counts.Crashes++
	downtime := t.cfg.Cold.RestartTime.D()
	// Stopped first: whoever sees its connection reset finds that connects are refused.
	t.ln.stop(downtime)
	t.restart(downtime, true)
}

// awaitUnfrozen waits while the target is frozen. It returns false if ctx ends
// first.
func (t *target) awaitUnfrozen(ctx context.Context) bool {
	t.mu.Lock()
	unfrozen := t.unfrozen
	t.mu.Unlock()
	select {
	case <-unfrozen:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitSlot waits in the queue until granted is closed. If it returns false,
// the request got no slot and the outcome is final.
func (t *target) awaitSlot(req request, inc *incarnation, granted chan struct{}) (outcome, bool) {
	select {
	case <-granted:
		return outcome{}, true
	case <-inc.ended:
		return t.countOutcome(outcome{end: endedRestart}), false
	case <-req.ctx.Done():
		t.leaveQueue(inc, granted)
		return t.countOutcome(outcome{end: endedCancelled}), false
	case <-deadlineChannel(req.deadline):
		t.leaveQueue(inc, granted)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counts.Expired++
		return outcome{refusal: refusedDeadline, load: t.load(), incarnation: t.incarnation.number}, false
	}
}

// leaveQueue removes a request from the queue, or releases its slot if the
// request got one in the meantime.
func (t *target) leaveQueue(inc *incarnation, granted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.queue, granted); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		return
	}
	t.releaseSlot(inc)
}

// releaseSlot passes a slot to the first waiting request, or frees it if none
// waits.
func (t *target) releaseSlot(inc *incarnation) {
	select {
	case <-inc.ended:
		return // the restart has already released all slots
	default:
	}
	if len(t.queue) > 0 {
		close(t.queue[0])
		t.queue = t.queue[1:]
		return
	}
	t.running--
}

// runInSlot runs a request that holds a slot and releases the slot.
func (t *target) runInSlot(req request, inc *incarnation, overCapacity bool) outcome {
	t.mu.Lock()
	out := outcome{incarnation: inc.number, truncate: t.truncate, version: t.versions[req.snapshot]}
	if req.search {
		t.counts.SearchesByVersion[req.snapshot]++
	} else {
		t.counts.Bookings[req.bookingID]++
	}
	if req.crashes {
		t.crash(inc)
		t.mu.Unlock()
		return t.countOutcome(outcome{end: endedRestart})
	}
	duration := t.serviceTime(overCapacity)
	t.mu.Unlock()

	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		out.end = endedCompleted
	case <-req.ctx.Done():
		out.end = endedCancelled
	case <-inc.ended:
		out.end = endedRestart
	case <-deadlineChannel(req.deadline):
		out.end = endedExpired
	}
	if out.end == endedCompleted && !t.awaitUnfrozen(req.ctx) {
		out.end = endedCancelled
	}

	t.mu.Lock()
	if out.end == endedCompleted {
		t.counts.Completions++
		inc.completions++
		if t.answersToLose > 0 {
			t.answersToLose--
			out.end = endedAnswerLost
		}
	}
	out.load = t.load()
	t.releaseSlot(inc)
	t.mu.Unlock()
	return t.countOutcome(out)
}

// countOutcome counts how the request ended and returns out.
func (t *target) countOutcome(out outcome) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch out.end {
	case endedCancelled:
		t.counts.Cancellations++
	case endedExpired:
		t.counts.Expired++
	case endedAnswerLost:
		t.counts.LostAnswers++
	}
	return out
}

// serviceTime returns a random service time for one request.
func (t *target) serviceTime(overCapacity bool) time.Duration {
	s := t.cfg.Service
	f := t.cfg.StragglerFactor
	switch s.Distribution {
	case "exponential":
		f *= t.rng.ExpFloat64()
	case "lognormal":
		// Subtracting sigma²/2 keeps the mean at s.Mean for every sigma.
		f *= math.Exp(s.Sigma*t.rng.NormFloat64() - s.Sigma*s.Sigma/2)
	}
	if overCapacity {
		f *= t.cfg.Cold.Slowdown
	}
	return time.Duration(f * float64(s.Mean))
}

// linkDelay returns a random one-way delay of the link.
func (t *target) linkDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.cfg.Link
	d := l.Delay.D()
	if l.Jitter > 0 {
		d += time.Duration(t.rng.Int64N(int64(l.Jitter)))
	}
	if l.Loss > 0 && t.rng.Float64() < l.Loss {
		d += l.Retransmit.D()
	}
	return d
}

func (t *target) load() loadReport {
	return loadReport{InFlight: t.running, Queued: len(t.queue)}
}

// health returns the health report, with the configured lag and false load.
func (t *target) health() healthAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Probes++
	if lag := t.cfg.Report.Lag.D(); lag > 0 && !t.lastReportAt.IsZero() && time.Since(t.lastReportAt) < lag {
		return t.lastReport
	}
	h := healthAnswer{Incarnation: t.incarnation.number, Draining: t.draining, Load: t.load()}
	if r := t.cfg.Report; r.Lie {
		h.Load = loadReport{InFlight: r.InFlight, Queued: r.Queued}
	}
	for _, v := range slices.Sorted(maps.Keys(t.versions)) {
		h.Versions = append(h.Versions, t.versions[v])
	}
	t.lastReport, t.lastReportAt = h, time.Now()
	return h
}

// currentCounts returns a copy of the counts.
func (t *target) currentCounts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Name, c.Incarnation, c.Slots = t.name, t.incarnation.number, t.cfg.Slots
	c.Capacity, c.InFlight = t.capacity(), t.running+len(t.queue)
	c.Connections = t.ln.accepted()
	c.SearchesByVersion = maps.Clone(c.SearchesByVersion)
	c.Bookings = maps.Clone(c.Bookings)
	c.RequestsByMark = maps.Clone(c.RequestsByMark)
	return c
}

// deadlineChannel returns a channel that receives at the deadline, or nil for a
// zero deadline.
func deadlineChannel(deadline time.Time) <-chan time.Time {
	if deadline.IsZero() {
		return nil
	}
	return time.After(time.Until(deadline))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
