package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// target is a target of the set in force.
type target struct {
	id      model.TargetID
	hash    uint64
	address string
	slots   int
	drain   bool // the set drains the target
	group   *group
	place   *place
	removed bool // no longer in the set

	lead      *member
	leadKey   leadKey
	leadIndex int  // in member.leads of the lead
	weakLead  bool // see assignment.weakTargets
	weakIndex int  // in assignment.weakTargets

	leadState   leadState
	formerLead  *member // lead before this instance, nil if not known
	handoverDue time.Duration

	waitingSince time.Duration // start of leadWaiting
	releasedAt   time.Duration // arrival of a release before this instance became the lead, 0 if none
	releasedBy   *member       // sender of that release
	forwardUntil time.Duration // until when a release is forwarded to the present lead

	probeDue     time.Duration // time of the next probe, 0 before the first
	probeSentAt  time.Duration
	probePending bool // a ProbeReply is outstanding
	failedProbes int  // consecutive

	// state is the last published state; known is false before the first.
	known bool
	state model.TargetState
	// localLevel is the warm-up level that this instance publishes as lead: as
	// the data plane reported it, 1 for a cold target, or 0 to keep the level of
	// the last published state.
	localLevel int

	older, newer  *target // neighbours in publications of the publisher
	publisher     *member // member whose publications hold state, nil if none
	push          pushState
	warm          bool // counts in place.warmCount
	markedChanged bool
}

// targets holds the targets of the set in force.
type targets struct {
	byTarget       map[model.TargetID]*target
	changedTargets []*target
	maxNumber      uint64 // highest publication number seen
}

// startProbing begins to probe a target that this instance leads. The first
// probe is sent at once, unless the answer to an earlier probe is outstanding.
func (f *Fleet) startProbing(t *target) {
	t.failedProbes = 0
	t.localLevel = 0
	if !t.probePending {
		f.sendProbe(t)
	}
	t.probeDue = f.startTimer(view.ProbeInterval, timer{kind: timerProbe, target: t})
}

func (f *Fleet) sendProbe(t *target) {
	t.probePending, t.probeSentAt = true, f.now
	f.emit(model.ProbeTarget{Target: t.id, Address: t.address})
}

func (f *Fleet) probeExpired(t *target) {
	if t.removed || t.lead != f.self || t.probeDue == 0 || t.probeDue > f.now {
		return
	}
	if !t.probePending || f.now-t.probeSentAt >= probeTimeout {
		f.sendProbe(t)
	}
	t.probeDue = f.startTimer(view.ProbeInterval, timer{kind: timerProbe, target: t})
}

func (f *Fleet) handleProbeReply(in *model.ProbeReply) {
	t := f.byTarget[in.Target]
	if t == nil {
		return
	}
	t.probePending = false
	if t.lead != f.self {
		return
	}
	next := t.state
	if !in.OK {
		t.failedProbes++
		if t.failedProbes < failedProbesDown {
			return
		}
		next.Level = 0
		t.localLevel = 0
		f.publishIfChanged(t, next)
		return
	}
	t.failedProbes = 0
	r := &in.Report
	if r.Incarnation < next.Incarnation {
		// The data plane has already got an answer from a later incarnation.
		return
	}
	if !t.known || next.Incarnation != r.Incarnation {
		// A restarted target is cold.
		t.localLevel = 1
	}
	next.Incarnation, next.Draining, next.Versions = r.Incarnation, r.Draining, r.Versions
	if t.localLevel > 0 {
		next.Level = t.localLevel
	}
	next.Level = max(next.Level, 1)
	f.publishIfChanged(t, next)
}

// handleObservation applies what the data plane learned about a led target.
func (f *Fleet) handleObservation(o *view.Observation) {
	t := f.byTarget[o.Target]
	if t == nil || t.lead != f.self {
		return
	}
	t.localLevel = o.Level
	if !t.known || t.state.Level == 0 {
		// Only a successful probe shows that a target is up. Before the first
		// probe no index versions are known either, and a state without
		// versions would replace a complete state that a peer holds.
		return
	}
	next := t.state
	next.Level = o.Level
	if o.Incarnation > next.Incarnation {
		next.Incarnation = o.Incarnation
	}
	f.publishIfChanged(t, next)
}

// publishIfChanged publishes a state of a led target if the state differs from
// the last published one, or if another instance or incarnation published that
// one.
func (f *Fleet) publishIfChanged(t *target, next model.TargetState) {
	if t.known && f.publishedBySelf(t) && sameState(&t.state, &next) {
		return
	}
	f.publishState(t, next)
}

// republish publishes the present state of a target again, with a number above
// all that this instance has seen.
func (f *Fleet) republish(t *target) { f.publishState(t, t.state) }

func (f *Fleet) publishState(t *target, next model.TargetState) {
	f.maxNumber++
	next.Target, next.Origin, next.OriginLife = t.id, f.cfg.Self, f.cfg.Incarnation
	next.Number = f.maxNumber
	f.setState(t, f.self, next)
}

func (f *Fleet) publishedBySelf(t *target) bool {
	return t.state.Origin == f.cfg.Self && t.state.OriginLife == f.cfg.Incarnation
}

func sameState(a, b *model.TargetState) bool {
	return a.Incarnation == b.Incarnation && a.Level == b.Level && a.Draining == b.Draining &&
		slices.EqualFunc(a.Versions, b.Versions, func(v, w model.VersionReport) bool {
			return v.Version == w.Version && v.Total == w.Total && slices.Equal(v.Partitions, w.Partitions)
		})
}

// setState stores a state of a target that origin published, and queues it for
// the next messages.
func (f *Fleet) setState(t *target, origin *member, s model.TargetState) {
	before := t.state
	changed := !t.known || !sameState(&before, &s)
	t.known, t.state = true, s
	f.maxNumber = max(f.maxNumber, s.Number)
	f.linkPublication(t, origin)
	f.queueTargetPush(t)
	if !changed {
		return
	}
	f.markTargetChanged(t)
	f.countWarm(t)
	if t.lead == f.self {
		f.emitStateEvents(t, &before)
	}
}

func (f *Fleet) emitStateEvents(t *target, before *model.TargetState) {
	after := &t.state
	if before.Incarnation != after.Incarnation {
		f.emitEvent("TargetIncarnation", string(t.id), formatIncarnation(before.Incarnation), formatIncarnation(after.Incarnation))
	}
	if before.Draining != after.Draining {
		f.emitEvent("TargetDraining", string(t.id), formatBool(before.Draining), formatBool(after.Draining))
	}
	if (before.Level == 0) != (after.Level == 0) {
		f.emitEvent("TargetUp", string(t.id), formatBool(before.Level > 0), formatBool(after.Level > 0))
	}
}

// mergeTarget merges a target state that a peer sent. States of one target are
// ordered by number, then origin, then incarnation of the origin. The number of
// each publication is above all numbers that its origin had seen. mergeTarget
// returns false if the target is not in the set in force, so that the state has
// to be requested again later.
func (f *Fleet) mergeTarget(s *model.TargetState) bool {
	t := f.byTarget[s.Target]
	origin := f.byID[s.Origin]
	f.maxNumber = max(f.maxNumber, s.Number)
	if origin == nil || origin == f.self || !origin.listed || !f.noteIncarnation(origin, s.OriginLife) {
		return true
	}
	if t == nil {
		return false
	}
	same := t.known && s.Number == t.state.Number && s.Origin == t.state.Origin && s.OriginLife == t.state.OriginLife
	if same && t.publisher == nil {
		// The state was unlinked when the origin left the list for a while.
		f.linkPublication(t, origin)
	}
	if t.known && !isLaterState(s, &t.state) {
		return true
	}
	if t.known && t.lead == f.self && f.publishedBySelf(t) {
		// A late publication of a former lead rests on older knowledge than the
		// probes of this instance, whatever its number.
		f.republish(t)
		return true
	}
	// If this instance leads the target, its next probe publishes a state
	// again, because this state has another origin.
	f.setState(t, origin, *s)
	return true
}

func isLaterState(a, b *model.TargetState) bool {
	switch {
	case a.Number != b.Number:
		return a.Number > b.Number
	case a.Origin != b.Origin:
		return a.Origin > b.Origin
	}
	return a.OriginLife > b.OriginLife
}
