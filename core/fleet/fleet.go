package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/rank"
	"galenadyke.dev/core/view"
)

// Fleet is the control plane of one instance. It is not safe for concurrent
// use.
//
// Outputs must not depend on map iteration order: every collection that is
// iterated to produce outputs is a slice, and maps are used for lookups only.
type Fleet struct {
	cfg model.CoreConfig
	rng *rand.Rand

	inbox  []model.Input
	timers timerHeap
	out    *[]model.Output // of the current Tick or ApplyReport, nil between calls

	now         time.Duration // Boot clock of the current call
	prevNow     model.Now     // time of the previous tick
	hasTicked   bool
	plannedWake time.Duration // result of NextWake after the previous Tick or ApplyReport

	membership
	exchanger
	configuration
	assignment
	targets
	readiness
	stop
	changes view.Changes
}

var _ view.View = (*Fleet)(nil)

// New returns a control plane without a configuration.
func New(cfg model.CoreConfig) *Fleet {
	f := &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, rank.Hash(string(cfg.Self))))}
	f.places = map[model.PlaceID]*place{}
	f.byID = map[model.InstanceID]*member{}
	f.byTarget = map[model.TargetID]*target{}
	f.self = &member{
		id: cfg.Self, hash: rank.Hash(string(cfg.Self)), address: cfg.Address,
		incarnation: cfg.Incarnation, heartbeat: 1, known: true, reached: true,
		place: f.findOrAddPlace(cfg.Place),
	}
	f.maxNumber = f.self.heartbeat
	f.byID[cfg.Self] = f.self
	f.fullSyncsLeft = fullSyncRounds
	f.ready = view.Readiness{Kind: model.KindNotReady}
	return f
}

// Step queues an input for the next Tick.
func (f *Fleet) Step(in model.Input) { f.inbox = append(f.inbox, in) }

// Tick processes the queued inputs and the timers that are due, and appends
// the resulting outputs to out. It returns the changes that the data plane
// must react to.
func (f *Fleet) Tick(now model.Now, out *[]model.Output) view.Changes {
	f.beginTick(now, out)
	f.detectSuspension(now)
	for i, in := range f.inbox {
		f.handle(in)
		f.inbox[i] = nil
	}
	f.inbox = f.inbox[:0]
	for {
		t, ok := f.timers.popDue(f.now)
		if !ok {
			break
		}
		f.handleTimer(t)
	}
	f.updateDerivedState()
	for _, call := range f.statusCalls {
		f.emit(f.status(call))
	}
	f.statusCalls = f.statusCalls[:0]
	f.prevNow, f.hasTicked = now, true
	f.plannedWake = f.NextWake()
	f.out = nil
	return f.takeChanges()
}

func (f *Fleet) beginTick(now model.Now, out *[]model.Output) {
	f.now = now.Boot
	f.out = out
	if !f.hasTicked {
		f.startedAt = f.now
	}
}

// updateDerivedState updates what depends on several inputs and timers of one
// tick. The order matters: each step uses the results of earlier steps only.
func (f *Fleet) updateDerivedState() {
	f.admitReturnedPlaces()
	f.updateReadiness()
	f.updateSelfEligibility()
	f.assignLeads()
	f.scheduleRead()
	f.flushReleases()
}

// ApplyReport applies the data plane's results of the current tick and appends
// the resulting outputs to out.
func (f *Fleet) ApplyReport(now model.Now, r view.Report, out *[]model.Output) {
	f.now, f.out = now.Boot, out
	for i := range r.Observations {
		f.handleObservation(&r.Observations[i])
	}
	for i := range r.Drained {
		f.handleDrained(&r.Drained[i])
	}
	f.flushReleases()
	f.finishStopIfIdle(r.Idle)
	f.plannedWake = f.NextWake()
	f.out = nil
}

// NextWake returns the time of the next timer on the Boot clock, or
// model.NoWake if no timer is set.
func (f *Fleet) NextWake() time.Duration {
	if len(f.timers.entries) == 0 {
		return model.NoWake
	}
	return f.timers.entries[0].at
}

func (f *Fleet) handle(in model.Input) {
	switch in := in.(type) {
	case model.PeerInput:
		f.handlePeerInput(&in)
	case model.PeerDown:
		f.handlePeerDown(in.Peer)
	case model.ProbeReply:
		f.handleProbeReply(&in)
	case model.ConfigResult:
		f.handleConfigResult(&in)
	case model.PeerConfig:
		f.handlePeerConfig(&in)
	case model.InstanceList:
		f.handleInstanceList(&in)
	case model.StatusCall:
		f.statusCalls = append(f.statusCalls, in.Call)
	case model.Shutdown:
		f.handleShutdown()
	}
}

func (f *Fleet) handleTimer(t timer) {
	switch t.kind {
	case timerExchange:
		f.exchangeRound(t.at)
	case timerPing:
		f.pingExpired(t.member)
	case timerSuspicion:
		f.suspicionExpired(t.member)
	case timerIndirectPing:
		f.indirectPingExpired(t.pingRound)
	case timerRead:
		f.readExpired(t.at)
	case timerFetch:
		f.fetchExpired()
	case timerConfirm:
		f.confirmExpired()
	case timerHandover:
		f.handoverExpired(t.target)
	case timerProbe:
		f.probeExpired(t.target)
	case timerBalancerDelay:
		f.balancerDelayExpired()
	case timerStopTimeout:
		f.stopTimeoutExpired()
	}
}

func (f *Fleet) handlePeerInput(in *model.PeerInput) {
	m := f.byID[in.From]
	if m == nil || m == f.self || !m.listed || !f.noteIncarnation(m, in.Incarnation) {
		return
	}
	switch msg := in.Message.(type) {
	case model.Exchange:
		f.handleExchange(m, &msg)
	case model.PingRequest:
		f.handlePingRequest(m, &msg)
	case model.PingReply:
		f.handlePingReply(&msg)
	case model.ConfigAnnounce:
		f.handleConfigAnnounce(m, &msg)
	case model.ConfigFetch:
		f.handleConfigFetch(m, &msg)
	case model.LeadRelease:
		f.handleLeadRelease(m, &msg)
	}
}

func (f *Fleet) emit(o model.Output) { *f.out = append(*f.out, o) }

func (f *Fleet) send(m *member, msg model.PeerMessage) {
	f.emit(model.SendPeer{To: m.id, Address: m.address, Message: msg})
}

func (f *Fleet) emitEvent(name, subject, before, after string) {
	f.emit(model.Event{Name: name, Subject: subject, Before: before, After: after})
}

func (f *Fleet) emitWarning(name, subject, before, after string) {
	f.emit(model.Event{Name: name, Subject: subject, Before: before, After: after, Warning: true})
}

// markTargetChanged reports a change of the target's lead, state or
// eligibility in the Changes of this tick.
func (f *Fleet) markTargetChanged(t *target) {
	if !t.markedChanged {
		t.markedChanged = true
		f.changedTargets = append(f.changedTargets, t)
	}
}

func (f *Fleet) addLostPeer(m *member) {
	f.changes.LostPeers = append(f.changes.LostPeers, m.id)
}

func (f *Fleet) takeChanges() view.Changes {
	for _, t := range f.changedTargets {
		t.markedChanged = false
		f.changes.Targets = append(f.changes.Targets, t.id)
	}
	f.changedTargets = f.changedTargets[:0]
	slices.Sort(f.changes.Targets)
	slices.Sort(f.changes.LostPeers)
	f.changes.LostPeers = slices.Compact(f.changes.LostPeers)
	c := f.changes
	f.changes = view.Changes{}
	return c
}

// Set implements view.View.
func (f *Fleet) Set() *objects.Set { return f.set }

// Readiness implements view.View.
func (f *Fleet) Readiness() view.Readiness { return f.ready }

// Stopping implements view.View. It is false during the balancer delay, while
// the instance still serves new calls.
func (f *Fleet) Stopping() bool { return f.stopPhase >= stopFinishing }

// Lead implements view.View.
func (f *Fleet) Lead(id model.TargetID) view.Lead {
	t := f.byTarget[id]
	if t == nil || t.lead == nil {
		return view.Lead{}
	}
	self := t.lead == f.self
	return view.Lead{
		Instance: t.lead.id, Address: t.lead.address, Incarnation: t.lead.incarnation, Self: self,
		Active: self && t.leadState == leadActive && f.ready.OK,
	}
}

// Target implements view.View.
func (f *Fleet) Target(id model.TargetID) view.TargetInfo {
	t := f.byTarget[id]
	if t == nil {
		return view.TargetInfo{}
	}
	return view.TargetInfo{
		Known: t.known, Incarnation: t.state.Incarnation, Level: t.state.Level,
		Draining: t.state.Draining, Versions: t.state.Versions,
	}
}

// Eligible implements view.View.
func (f *Fleet) Eligible(id model.TargetID) bool {
	t := f.byTarget[id]
	return t != nil && !t.drain && !t.state.Draining && !t.place.out && !t.place.awaitsAdmission
}

// PeerAddress implements view.View.
func (f *Fleet) PeerAddress(id model.InstanceID) (string, bool) {
	m := f.byID[id]
	if m == nil {
		return "", false
	}
	return m.address, m.address != ""
}

// Successor implements view.View.
func (f *Fleet) Successor() model.InstanceID { return f.SuccessorOf(f.cfg.Self) }

// SuccessorOf implements view.View.
func (f *Fleet) SuccessorOf(id model.InstanceID) model.InstanceID {
	key := rank.Hash("booking:" + string(id))
	var best *member
	var bestScore uint64
	for _, m := range f.eligible {
		if m.id == id {
			continue
		}
		score := rank.Score(key, m.hash)
		if best == nil || score > bestScore || score == bestScore && m.id < best.id {
			best, bestScore = m, score
		}
	}
	if best == nil {
		return ""
	}
	return best.id
}

func compareMembers(a, b *member) int { return strings.Compare(string(a.id), string(b.id)) }
