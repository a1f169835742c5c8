package query

import (
	"math/rand/v2"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/view"
)

// Engine is the data plane of one instance. It is not safe for concurrent use.
//
// Inputs and timers change entities and put them on dirty lists; the systems
// run over these lists until they are empty.
type Engine struct {
	cfg  model.CoreConfig
	view view.View
	now  time.Duration // Boot clock of the tick
	rng  *rand.Rand
	out  *[]model.Output
	in   []model.Input

	set    *objects.Set
	limits objects.Limits
	ready  view.Readiness
	lost   []model.InstanceID // found dead or restarted in this tick

	timers timers
	topology
	peerTable

	calls     table[call]
	callIndex map[model.CallID]int32
	attempts  table[attempt]
	works     table[work]
	workIndex map[model.WorkRef]int32 // relayed work in progress

	bookings ledger

	hedges  budget
	retries budget

	dirtyCalls    []int32
	dirtyTargets  []int32
	dirtyBookings []int32
	observed      []int32 // led targets with a changed level or incarnation
	drained       []view.Drained
	observations  []view.Observation
	covered       bitset
	relayed       []int32 // instances with items of the call that is being sent
	workOrder     uint64
	stop          stop
}

// New returns a data plane that reads the control plane through v.
func New(cfg model.CoreConfig, v view.View) *Engine {
	e := &Engine{
		cfg:       cfg,
		view:      v,
		rng:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		limits:    objects.DefaultLimits(),
		callIndex: map[model.CallID]int32{},
		workIndex: map[model.WorkRef]int32{},
	}
	e.topology.init()
	e.peerTable.init()
	e.bookings.init(&e.timers)
	e.setLimits(e.limits)
	e.hedges.fill()
	e.retries.fill()
	return e
}

// Step records an input for the next Tick.
func (e *Engine) Step(in model.Input) { e.in = append(e.in, in) }

// NextWake is the time on the Boot clock of the next timer.
func (e *Engine) NextWake() time.Duration { return e.timers.next() }

// Tick runs the systems of the data plane and appends to out.
func (e *Engine) Tick(now model.Now, changes view.Changes, out *[]model.Output) view.Report {
	e.now, e.out = now.Boot, out
	e.applyChanges(changes)
	for i, in := range e.in {
		e.apply(in)
		e.in[i] = nil
	}
	e.in = e.in[:0]
	// Timers run after the inputs, so that an answer leaves with everything
	// that has arrived.
	e.runTimers()
	e.runDirty()
	e.flushPeers()
	e.runStop()
	report := e.report()
	e.out = nil
	return report
}

func (e *Engine) apply(in model.Input) {
	switch in := in.(type) {
	case model.SearchCall:
		e.searchCall(in)
	case model.BookCall:
		e.bookCall(in)
	case model.IssueBookingIDs:
		e.issue(in)
	case model.CancelCall:
		e.cancelCall(in.Call)
	case model.TargetReply:
		e.targetReply(in)
	case model.ProbeReply:
		e.probeReply(in)
	case model.PeerInput:
		e.peerInput(in)
	case model.PeerDown:
		e.peerLost(in.Peer)
	}
}

func (e *Engine) peerInput(in model.PeerInput) {
	switch m := in.Message.(type) {
	case model.RelayRequest:
		e.relayRequest(in.From, m)
	case model.RelayReply:
		e.relayReply(in.From, m)
	case model.RelayCancel:
		e.relayCancel(in.From, m)
	case model.BookForward:
		e.bookForward(in.From, m)
	case model.BookOutcome:
		e.bookOutcome(in.From, m)
	case model.BookingHandover:
		e.bookingHandover(m)
	case model.LeadRelease:
		e.leadRelease(m)
	}
}

func (e *Engine) runTimers() {
	for t := e.timers.due(e.now); t != nil; t = e.timers.due(e.now) {
		switch t.kind {
		case timerCall:
			e.callTimer(t.owner)
		case timerTarget:
			e.markTarget(t.owner)
		case timerBooking:
			e.bookingDeadline(t.owner)
		case timerReservations:
			e.expireBookings()
		}
	}
}

// runDirty runs the systems until nothing is left to do. Work that is given
// back marks its call, and a call that sends marks its target.
func (e *Engine) runDirty() {
	for len(e.dirtyCalls)+len(e.dirtyBookings)+len(e.dirtyTargets) > 0 {
		for i := 0; i < len(e.dirtyCalls); i++ {
			e.runCall(e.dirtyCalls[i])
		}
		e.dirtyCalls = e.dirtyCalls[:0]
		for i := 0; i < len(e.dirtyBookings); i++ {
			e.runBooking(e.dirtyBookings[i])
		}
		e.dirtyBookings = e.dirtyBookings[:0]
		for i := 0; i < len(e.dirtyTargets); i++ {
			e.runTarget(e.dirtyTargets[i])
		}
		e.dirtyTargets = e.dirtyTargets[:0]
	}
}

func (e *Engine) emit(o model.Output) { *e.out = append(*e.out, o) }

// maySend reports whether work may leave for a target. A stopping instance
// finishes the calls that it has accepted.
func (e *Engine) maySend() bool {
	return e.ready.OK || e.ready.Kind != model.KindUnconfirmed && e.view.Stopping() && e.set != nil
}

// notReady is the kind of the refusals while nothing may be sent.
func (e *Engine) notReady() model.Kind {
	if e.ready.Kind == model.KindNone {
		return model.KindNotReady
	}
	return e.ready.Kind
}

func (e *Engine) report() view.Report {
	e.observations = e.observations[:0]
	for _, i := range e.observed {
		t := &e.targets[i]
		t.observedDirty = false
		if t.lead.Self {
			e.observations = append(e.observations,
				view.Observation{Target: t.id, Incarnation: t.incarnation, Level: t.level})
		}
	}
	e.observed = e.observed[:0]
	r := view.Report{Observations: e.observations, Drained: e.drained, Idle: e.idle()}
	e.drained = nil
	return r
}
