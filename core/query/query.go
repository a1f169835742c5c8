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
	cfg    model.CoreConfig
	view   view.View
	now    time.Duration // Boot clock of the tick
	rng    *rand.Rand
	out    *[]model.Output
	inputs []model.Input

	set       *objects.Set
	limits    objects.Limits
	readiness view.Readiness
	lostPeers []model.InstanceID // found dead or restarted in this tick

	timers timers
	topology
	peerTable

	calls     table[call]
	callIndex map[model.CallID]int32
	attempts  table[attempt]
	works     table[work]
	workIndex map[model.WorkRef]int32 // relayed work in progress

	ledger ledger

	hedgeBudget tokenBucket
	retryBudget tokenBucket

	dirtyCalls        []int32
	dirtyTargets      []int32
	dirtyBookings     []int32
	unreported        []int32 // led targets with a changed level or incarnation
	drained           []view.Drained
	observations      []view.Observation
	coveredPartitions bitset
	relayPeers        []int32 // instances with items of the call that is being sent
	lastWorkSeq       uint64
	stop              stopState
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
	e.ledger.init(&e.timers)
	e.setLimits(e.limits)
	e.hedgeBudget.fill()
	e.retryBudget.fill()
	return e
}

// Step records an input for the next Tick.
func (e *Engine) Step(in model.Input) { e.inputs = append(e.inputs, in) }

// NextWake is the time on the Boot clock of the next timer.
func (e *Engine) NextWake() time.Duration { return e.timers.next() }

// Tick runs the systems of the data plane and appends to out.
func (e *Engine) Tick(now model.Now, changes view.Changes, out *[]model.Output) view.Report {
	e.now, e.out = now.Boot, out
	e.applyChanges(changes)
	for i, in := range e.inputs {
		e.applyInput(in)
		e.inputs[i] = nil
	}
	e.inputs = e.inputs[:0]
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

func (e *Engine) applyInput(in model.Input) {
	switch in := in.(type) {
	case model.SearchCall:
		e.handleSearchCall(in)
	case model.BookCall:
		e.handleBookCall(in)
	case model.IssueBookingIDs:
		e.handleIssueBookingIDs(in)
	case model.CancelCall:
		e.handleCancelCall(in.Call)
	case model.TargetReply:
		e.handleTargetReply(in)
	case model.ProbeReply:
		e.handleProbeReply(in)
	case model.PeerInput:
		e.handlePeerInput(in)
	case model.PeerDown:
		e.handlePeerLost(in.Peer)
	}
}

func (e *Engine) handlePeerInput(in model.PeerInput) {
	e.markPeerAlive(in.From)
	switch m := in.Message.(type) {
	case model.RelayRequest:
		e.handleRelayRequest(in.From, m)
	case model.RelayReply:
		e.handleRelayReply(in.From, m)
	case model.RelayCancel:
		e.handleRelayCancel(in.From, m)
	case model.BookForward:
		e.handleBookForward(in.From, m)
	case model.BookOutcome:
		e.handleBookOutcome(in.From, m)
	case model.BookingHandover:
		e.handleBookingHandover(m)
	case model.LeadRelease:
		e.handleLeadRelease(m)
	}
}

func (e *Engine) runTimers() {
	for t := e.timers.popDue(e.now); t != nil; t = e.timers.popDue(e.now) {
		switch t.kind {
		case timerCall:
			e.handleCallTimer(t.owner)
		case timerTarget:
			e.markTargetDirty(t.owner)
		case timerBooking:
			e.handleBookingDeadline(t.owner)
		case timerLedger:
			e.expireLedger()
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
	return e.readiness.OK || e.readiness.Kind != model.KindUnconfirmed && e.view.Stopping() && e.set != nil
}

// notReadyKind is the kind of the refusals while nothing may be sent.
func (e *Engine) notReadyKind() model.Kind {
	if e.readiness.Kind == model.KindNone {
		return model.KindNotReady
	}
	return e.readiness.Kind
}

func (e *Engine) report() view.Report {
	e.observations = e.observations[:0]
	for _, i := range e.unreported {
		t := &e.targets[i]
		t.unreported = false
		if t.lead.Self {
			e.observations = append(e.observations,
				view.Observation{Target: t.id, Incarnation: t.incarnation, Level: t.level})
		}
	}
	e.unreported = e.unreported[:0]
	r := view.Report{Observations: e.observations, Drained: e.drained, Idle: e.isIdle()}
	e.drained = nil
	return r
}
