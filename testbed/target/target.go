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

// target is the state of one target. mu guards all fields below it.
type target struct {
	name string
	conn *connections

	mu      sync.Mutex
	cfg     Config
	rng     *rand.Rand
	life    *life
	running int
	queue   []chan struct{} // closed when the waiting request gets a slot
	// thawed is closed unless the target is frozen.
	thawed     chan struct{}
	draining   bool
	truncate   bool
	loseNext   int
	versions   map[uint64]Version
	counts     Counts
	mark       string
	reported   healthAnswer
	reportedAt time.Time
}

// life is one incarnation. ended is closed when it ends by a restart.
type life struct {
	incarnation uint64
	completed   int
	overloads   int
	warm        bool
	ended       chan struct{}
}

func newTarget(cfg Config, conn *connections) *target {
	t := &target{
		name:     cfg.Name,
		conn:     conn,
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		life:     &life{incarnation: cfg.Incarnation, warm: cfg.Cold.Warm, ended: make(chan struct{})},
		thawed:   make(chan struct{}),
		versions: make(map[uint64]Version),
		counts:   newCounts(),
	}
	close(t.thawed)
	for _, v := range cfg.Versions {
		t.versions[v.Version] = v
	}
	return t
}

// bears is the number of requests that the present life bears at once.
func (t *target) bears() int {
	if t.life.warm {
		return t.cfg.Slots
	}
	return min(t.cfg.Slots, 1+t.life.completed/t.cfg.Cold.Completions)
}

// refusal is the reason for which a request did not run.
type refusal string

const (
	refusedNone     refusal = ""
	refusedShed     refusal = "shed"
	refusedDraining refusal = "draining"
	refusedVersion  refusal = "version_not_served"
	refusedDeadline refusal = "deadline"
)

// ending says how a request that was not refused ended.
type ending uint8

const (
	endedDone    ending = iota
	endedGone           // caller closed the request
	endedExpired        // deadline passed while it ran
	endedLife           // the target restarted
	endedLost           // it ran and the answer is to be lost
)

// outcome is the result of work.
type outcome struct {
	refused  refusal
	end      ending
	load     loadReport
	life     uint64
	version  Version
	truncate bool
}

// work is one request after it crossed the link.
type work struct {
	ctx       context.Context // done when the caller closes the request
	deadline  time.Time       // zero for none
	search    bool
	snapshot  uint64
	bookingID string
}

// do runs the work in a slot and returns when it has ended.
func (t *target) do(w work) outcome {
	t.mu.Lock()
	t.counts.Requests++
	t.counts.RequestsByMark[t.mark]++
	t.mu.Unlock()
	if !t.awaitThaw(w.ctx) {
		return t.finish(outcome{end: endedGone})
	}

	t.mu.Lock()
	if r := t.admit(w); r != refusedNone {
		out := outcome{refused: r, load: t.load(), life: t.life.incarnation}
		t.mu.Unlock()
		return out
	}
	here := t.life
	excess := t.enter(here)
	if here != t.life { // the excess ended the life
		t.mu.Unlock()
		return t.finish(outcome{end: endedLife})
	}
	var turn chan struct{}
	if t.running < t.cfg.Slots {
		t.running++
	} else {
		turn = make(chan struct{})
		t.queue = append(t.queue, turn)
	}
	t.mu.Unlock()

	if turn != nil {
		if out, ok := t.awaitTurn(w, here, turn); !ok {
			return out
		}
	}
	return t.serve(w, here, excess)
}

// admit checks what refuses a request on arrival.
func (t *target) admit(w work) refusal {
	switch {
	case t.draining:
		return refusedDraining
	case w.search && !t.holds(w.snapshot):
		t.counts.WrongVersion++
		return refusedVersion
	case !w.deadline.IsZero() && !time.Now().Before(w.deadline):
		t.counts.Expired++
		return refusedDeadline
	case t.running >= t.cfg.Slots && len(t.queue) >= t.cfg.QueueLimit:
		t.counts.Sheds++
		return refusedShed
	}
	return refusedNone
}

func (t *target) holds(version uint64) bool {
	_, ok := t.versions[version]
	return ok
}

// enter counts a request in and reports whether it exceeds what the target
// bears. Too many such requests end the life.
func (t *target) enter(here *life) bool {
	atOnce := t.running + len(t.queue) + 1
	t.counts.MaxAtOnce = max(t.counts.MaxAtOnce, atOnce)
	bears := t.bears()
	t.counts.MaxExcess = max(t.counts.MaxExcess, atOnce-bears)
	if atOnce <= bears || bears >= t.cfg.Slots {
		return false
	}
	t.counts.Overloads++
	here.overloads++
	if limit := t.cfg.Cold.OverloadLimit; limit > 0 && here.overloads >= limit {
		t.counts.FailOvers++
		t.restart(t.cfg.Cold.RestartTime.D(), true)
	}
	return true
}

// restart begins a new cold life. With reset it closes every connection with
// a reset and refuses new ones for the time down.
func (t *target) restart(down time.Duration, reset bool) {
	old := t.life
	t.life = &life{incarnation: old.incarnation + 1, ended: make(chan struct{})}
	if !reset {
		return
	}
	t.running, t.queue = 0, nil
	close(old.ended)
	t.conn.resetAll(down)
}

// awaitThaw waits while the target is frozen, false if the caller gave up.
func (t *target) awaitThaw(ctx context.Context) bool {
	t.mu.Lock()
	thawed := t.thawed
	t.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitTurn waits in the queue for a slot.
func (t *target) awaitTurn(w work, here *life, turn chan struct{}) (outcome, bool) {
	select {
	case <-turn:
		return outcome{}, true
	case <-here.ended:
		return t.finish(outcome{end: endedLife}), false
	case <-w.ctx.Done():
		t.leaveQueue(here, turn)
		return t.finish(outcome{end: endedGone}), false
	case <-after(w.deadline):
		t.leaveQueue(here, turn)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counts.Expired++
		return outcome{refused: refusedDeadline, load: t.load(), life: t.life.incarnation}, false
	}
}

// leaveQueue takes a request out of the queue, or gives its slot back if it
// has just got one.
func (t *target) leaveQueue(here *life, turn chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.queue, turn); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		return
	}
	t.release(here)
}

// release frees a slot and gives it to the first waiting request.
func (t *target) release(here *life) {
	select {
	case <-here.ended:
		return // the slots of this life are gone
	default:
	}
	if len(t.queue) > 0 {
		close(t.queue[0])
		t.queue = t.queue[1:]
		return
	}
	t.running--
}

// serve runs the work in the slot that it holds.
func (t *target) serve(w work, here *life, excess bool) outcome {
	t.mu.Lock()
	out := outcome{life: here.incarnation, truncate: t.truncate, version: t.versions[w.snapshot]}
	if w.search {
		t.counts.SearchesByVersion[w.snapshot]++
	} else {
		t.counts.Bookings[w.bookingID]++
	}
	took := t.serviceTime(excess)
	t.mu.Unlock()

	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		out.end = endedDone
	case <-w.ctx.Done():
		out.end = endedGone
	case <-here.ended:
		out.end = endedLife
	case <-after(w.deadline):
		out.end = endedExpired
	}
	if out.end == endedDone && !t.awaitThaw(w.ctx) {
		out.end = endedGone
	}

	t.mu.Lock()
	if out.end == endedDone {
		t.counts.Completions++
		here.completed++
		if t.loseNext > 0 {
			t.loseNext--
			out.end = endedLost
		}
	}
	out.load = t.load()
	t.release(here)
	t.mu.Unlock()
	return t.finish(out)
}

// finish counts how the work ended.
func (t *target) finish(out outcome) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch out.end {
	case endedGone:
		t.counts.Cancellations++
	case endedExpired:
		t.counts.Expired++
	case endedLost:
		t.counts.LostAnswers++
	}
	return out
}

// serviceTime draws the time of one request.
func (t *target) serviceTime(excess bool) time.Duration {
	s := t.cfg.Service
	f := t.cfg.StragglerFactor
	switch s.Distribution {
	case "exponential":
		f *= t.rng.ExpFloat64()
	case "lognormal":
		// The shift keeps the mean at s.Mean for every sigma.
		f *= math.Exp(s.Sigma*t.rng.NormFloat64() - s.Sigma*s.Sigma/2)
	}
	if excess {
		f *= t.cfg.Cold.Slowdown
	}
	return time.Duration(f * float64(s.Mean))
}

// linkTime draws the time of one crossing of the link.
func (t *target) linkTime() time.Duration {
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

// health is the health report, with the lag and the lies that are set.
func (t *target) health() healthAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Probes++
	if lag := t.cfg.Report.Lag.D(); lag > 0 && !t.reportedAt.IsZero() && time.Since(t.reportedAt) < lag {
		return t.reported
	}
	h := healthAnswer{Incarnation: t.life.incarnation, Draining: t.draining, Load: t.load()}
	if r := t.cfg.Report; r.Lie {
		h.Load = loadReport{InFlight: r.InFlight, Queued: r.Queued}
	}
	for _, v := range slices.Sorted(maps.Keys(t.versions)) {
		h.Versions = append(h.Versions, t.versions[v])
	}
	t.reported, t.reportedAt = h, time.Now()
	return h
}

// snapshot copies the counts.
func (t *target) snapshot() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Name, c.Incarnation, c.Slots = t.name, t.life.incarnation, t.cfg.Slots
	c.Bears, c.InFlight = t.bears(), t.running+len(t.queue)
	c.Connections = t.conn.accepted()
	c.SearchesByVersion = maps.Clone(c.SearchesByVersion)
	c.Bookings = maps.Clone(c.Bookings)
	c.RequestsByMark = maps.Clone(c.RequestsByMark)
	return c
}

// after returns a channel that fires at the deadline, nil for none.
func after(deadline time.Time) <-chan time.Time {
	if deadline.IsZero() {
		return nil
	}
	return time.After(time.Until(deadline))
}

// sleep waits for d, false if ctx ended first.
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
