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
// Inputs and timers change entities (calls, bookings and targets) and put them
// on dirty lists. Tick processes these lists until they are empty.
type Engine struct {
	cfg    model.CoreConfig
	view   view.View
	now    time.Duration // Boot clock time of the current tick
	rng    *rand.Rand
	out    *[]model.Output
	inputs []model.Input

	set       *objects.Set
	limits    objects.Limits
	readiness view.Readiness
	lostPeers []model.InstanceID // instances found dead or restarted in this tick

	timers timers
	topology
	peerTable

	calls     table[call]
	callIndex map[model.CallID]int32
	attempts  table[attempt]
	works     table[work]
	workIndex map[model.WorkRef]int32 // work in progress that other instances relayed

	ledger ledger

	hedgeBudget tokenBucket
	retryBudget tokenBucket

	dirtyCalls        []int32
	dirtyTargets      []int32
	dirtyBookings     []int32
	unreported        []int32 // led targets whose level or incarnation changed since the last report
	drained           []view.DrainedTarget
	observations      []view.Observation
	coveredPartitions bitset
	relayPeers        []int32 // peers with unsent relay items of the current request
	lastWorkSeq       uint64
	stop              stopState
}

// New returns the data plane of instance cfg.Self. It reads the control plane
// through v.
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

// Step queues an input for the next Tick.
func (e *Engine) Step(in model.Input) { e.inputs = append(e.inputs, in) }

// NextWake returns the Boot clock time of the next timer, or model.NoWake if no
// timer is set.
func (e *Engine) NextWake() time.Duration { return e.timers.next() }

// Tick applies the changes of the control plane, the queued inputs and the due
// timers, and appends the resulting outputs to out. It returns what the control
// plane needs to know.
func (e *Engine) Tick(now model.Now, changes view.Changes, out *[]model.Output) view.Report {
	e.now, e.out = now.Boot, out
	e.applyChanges(changes)
	for i, in := range e.inputs {
		e.applyInput(in)
		e.inputs[i] = nil
	}
	e.inputs = e.inputs[:0]
	// Timers run after the inputs, so that an answer sent at its deadline
	// includes every reply that has arrived.
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

// runDirty processes the dirty calls, bookings and targets until none is left.
// Processing one of them may make another dirty: a target that returns work unsent
// marks the call, and a call that queues work marks the target.
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

// maySend reports whether work may be sent to targets. A stopping instance still
// sends the work of the calls that it has accepted, unless its configuration is
// unconfirmed.
func (e *Engine) maySend() bool {
	return e.readiness.OK || e.readiness.Kind != model.KindUnconfirmed && e.view.Stopping() && e.set != nil
}

// notReadyKind returns the error kind for refusals while maySend is false.
func (e *Engine) notReadyKind() model.Kind {
	if e.readiness.Kind == model.KindNone {
		return model.KindNotReady
	}
	return e.readiness.Kind
}

// report returns the report of the tick and clears the lists from which it is
// built.
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
