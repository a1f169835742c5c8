package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/rank"
	"galenadyke.dev/core/view"
)

// leadState says how far this instance has taken over or given up a target.
type leadState uint8

const (
	leadNone      leadState = iota
	leadWaiting             // leads, but sends nothing: the former lead may still have work there
	leadActive              // leads and sends work
	leadReleasing           // no longer leads; the data plane still has work there
)

func (s leadState) String() string { return [...]string{"none", "waiting", "active", "releasing"}[s] }

// leadKey ranks a member as lead of a target. The first criterion that differs
// decides: fewest leads in the same group, same data centre as the target,
// highest score, lowest id.
type leadKey struct {
	groupLeads int    // targets of the group that this assignment has already given to the member
	remote     bool   // the member is in another data centre than the target
	score      uint64 // rendezvous hash of target and member
	id         model.InstanceID
}

func (k *leadKey) ranksBefore(o *leadKey) bool {
	switch {
	case k.groupLeads != o.groupLeads:
		return k.groupLeads < o.groupLeads
	case k.remote != o.remote:
		return !k.remote
	case k.score != o.score:
		return k.score > o.score
	}
	return k.id < o.id
}

// group is a target group of the set in force.
type group struct {
	id      model.GroupID
	targets []*target // sorted by name
	dirty   bool      // is in assignment.dirtyGroups
}

// assignment holds what the choice of leads depends on, and pending releases.
type assignment struct {
	eligible        []*member // may lead; the order has no meaning but is reproducible
	groups          []*group  // sorted by name
	dirtyGroups     []*group  // to be assigned at the end of the tick
	newlyEligible   []*member // since the last assignment
	weakTargets     []*target // lead is missing, remote or leads another replica
	assignEpoch     uint64    // count of group assignments
	pendingReleases []pendingRelease
	firstToLead     bool // no other instance can have led before this one
}

type pendingRelease struct {
	to     *member
	target model.ReleasedTarget
}

// usesSingleLeads reports whether the policy gives each target a single lead.
// Under the other policies every instance leads every target.
func (f *Fleet) usesSingleLeads() bool {
	return f.cfg.Policy == model.PolicyFull || f.cfg.Policy == ""
}

func (f *Fleet) setEligible(m *member, eligible bool) {
	if eligible {
		f.addEligible(m)
	} else {
		f.removeEligible(m)
	}
}

func (f *Fleet) addEligible(m *member) {
	if m.isEligible {
		return
	}
	m.isEligible = true
	m.eligibleIndex = len(f.eligible)
	f.eligible = append(f.eligible, m)
	m.placeIndex = len(m.place.eligible)
	m.place.eligible = append(m.place.eligible, m)
	f.newlyEligible = append(f.newlyEligible, m)
}

func (f *Fleet) removeEligible(m *member) {
	if !m.isEligible {
		return
	}
	m.isEligible = false
	last := len(f.eligible) - 1
	f.eligible[m.eligibleIndex] = f.eligible[last]
	f.eligible[m.eligibleIndex].eligibleIndex = m.eligibleIndex
	f.eligible = f.eligible[:last]
	p := m.place
	last = len(p.eligible) - 1
	p.eligible[m.placeIndex] = p.eligible[last]
	p.eligible[m.placeIndex].placeIndex = m.placeIndex
	p.eligible = p.eligible[:last]
	// Only groups in which the member leads a target need a new assignment. In
	// every other group it was outranked for each target, so that the leads do
	// not change.
	for _, t := range m.leads {
		f.markGroupDirty(t.group)
	}
}

func (f *Fleet) markGroupDirty(g *group) {
	if !g.dirty {
		g.dirty = true
		f.dirtyGroups = append(f.dirtyGroups, g)
	}
}

// assignLeads chooses leads for the groups whose leads can have changed.
func (f *Fleet) assignLeads() {
	f.firstToLead = slices.Contains(f.newlyEligible, f.self) && f.othersStarting()
	for _, m := range f.newlyEligible {
		if m.isEligible {
			f.markOutrankedGroups(m)
		}
	}
	f.newlyEligible = f.newlyEligible[:0]
	for _, g := range f.dirtyGroups {
		g.dirty = false
		f.assignGroup(g)
	}
	f.dirtyGroups = f.dirtyGroups[:0]
}

// othersStarting reports whether every other listed member has answered and is
// still starting, so that no other member can have work at a target.
func (f *Fleet) othersStarting() bool {
	if f.reachedCount < len(f.listed) {
		return false
	}
	for _, m := range f.listed {
		if m != f.self && m.status != model.MemberStarting {
			return false
		}
	}
	return true
}

// markOutrankedGroups marks the groups in which a newly eligible member
// outranks a lead. It compares targets in the member's data centre and targets
// with a weak lead only: at any other target the member cannot outrank a lead in
// the target's data centre that leads no other replica.
func (f *Fleet) markOutrankedGroups(m *member) {
	for _, t := range m.place.targets {
		if f.outranksLead(m, t) {
			f.markGroupDirty(t.group)
		}
	}
	for _, t := range f.weakTargets {
		if t.place != m.place && f.outranksLead(m, t) {
			f.markGroupDirty(t.group)
		}
	}
}

func (f *Fleet) outranksLead(m *member, t *target) bool {
	if t.lead == m {
		return false
	}
	key := leadKey{remote: m.place != t.place, score: rank.Score(t.hash, m.hash), id: m.id}
	return t.lead == nil || key.ranksBefore(&t.leadKey)
}

// assignGroup chooses the lead of each target of a group: the member that ranks
// highest by leadKey. The replicas of a group get different leads as long as
// there are enough members.
func (f *Fleet) assignGroup(g *group) {
	f.assignEpoch++
	for _, t := range g.targets {
		if !f.usesSingleLeads() {
			f.setLead(t, f.self, leadKey{})
			continue
		}
		key, lead := f.bestLead(t)
		if lead != nil {
			lead.assignEpoch, lead.groupLeads = f.assignEpoch, key.groupLeads+1
		}
		f.setLead(t, lead, key)
	}
}

func (f *Fleet) bestLead(t *target) (leadKey, *member) {
	best, lead := f.bestAmong(t, t.place.eligible, leadKey{}, nil)
	if lead != nil && best.groupLeads == 0 {
		return best, lead
	}
	return f.bestAmong(t, f.eligible, best, lead)
}

func (f *Fleet) bestAmong(t *target, members []*member, best leadKey, lead *member) (leadKey, *member) {
	for _, m := range members {
		key := leadKey{remote: m.place != t.place, score: rank.Score(t.hash, m.hash), id: m.id}
		if m.assignEpoch == f.assignEpoch {
			key.groupLeads = m.groupLeads
		}
		if lead == nil || key.ranksBefore(&best) {
			best, lead = key, m
		}
	}
	return best, lead
}

func (f *Fleet) setLead(t *target, lead *member, key leadKey) {
	t.leadKey = key
	f.setWeakLead(t, lead == nil || key.remote || key.groupLeads > 0)
	if t.lead == lead {
		return
	}
	before := t.lead
	f.unlinkLead(t)
	t.lead = lead
	if lead != nil {
		t.leadIndex = len(lead.leads)
		lead.leads = append(lead.leads, t)
	}
	f.markTargetChanged(t)
	switch f.self {
	case before:
		f.loseLead(t)
	case lead:
		f.gainLead(t, before)
	}
}

func (f *Fleet) unlinkLead(t *target) {
	m := t.lead
	if m == nil {
		return
	}
	last := len(m.leads) - 1
	m.leads[t.leadIndex] = m.leads[last]
	m.leads[t.leadIndex].leadIndex = t.leadIndex
	m.leads[last] = nil
	m.leads = m.leads[:last]
	t.lead = nil
}

func (f *Fleet) setWeakLead(t *target, weak bool) {
	if t.weakLead == weak {
		return
	}
	t.weakLead = weak
	if weak {
		t.weakIndex = len(f.weakTargets)
		f.weakTargets = append(f.weakTargets, t)
		return
	}
	last := len(f.weakTargets) - 1
	f.weakTargets[t.weakIndex] = f.weakTargets[last]
	f.weakTargets[t.weakIndex].weakIndex = t.weakIndex
	f.weakTargets = f.weakTargets[:last]
}

// gainLead starts the handover of a target to this instance. The lead becomes
// active without a wait only if the policy has no single leads, if this instance
// is alone on the list or the first to lead, or if the former lead has already
// released the target.
func (f *Fleet) gainLead(t *target, before *member) {
	t.formerLead = before
	f.startProbing(t)
	switch {
	case !f.usesSingleLeads(), len(f.listed) <= 1:
		f.setLeadState(t, leadActive)
	case before == nil && f.firstToLead:
		f.setLeadState(t, leadActive)
	case t.releasedAt > 0 && t.releasedBy == before && f.now-t.releasedAt <= releaseRetention:
		// Only a release by the last lead counts: a release by an earlier lead
		// says nothing about the work of the last lead.
		f.setLeadState(t, leadActive)
	default:
		f.waitForHandover(t)
	}
	t.releasedAt = 0
}

func (f *Fleet) waitForHandover(t *target) {
	f.setLeadState(t, leadWaiting)
	t.waitingSince = f.now
	t.handoverDue = f.startTimer(view.HandoverTimeout, timer{kind: timerHandover, target: t})
}

// loseLead gives up a target. An active lead is released only after the data
// plane has reported the end of its last work there (view.DrainedTarget).
func (f *Fleet) loseLead(t *target) {
	t.releasedAt = 0
	switch t.leadState {
	case leadActive:
		f.setLeadState(t, leadReleasing)
	case leadWaiting:
		// This instance has sent nothing. If the former lead leads again, it
		// gets a release and can go on at once. If another member leads, the
		// release of the former lead is forwarded to that member.
		f.setLeadState(t, leadNone)
		t.forwardUntil = t.handoverDue
		if t.lead != nil && t.lead == t.formerLead {
			t.forwardUntil = 0
			f.queueRelease(t, t.lead, t.state.Incarnation, t.state.Level)
		}
	}
}

func (f *Fleet) setLeadState(t *target, next leadState) {
	if t.leadState == next {
		return
	}
	f.emitEvent("LeadState", string(t.id), t.leadState.String(), next.String())
	if next == leadActive || t.leadState == leadActive {
		f.markTargetChanged(t)
	}
	t.leadState = next
}

func (f *Fleet) handoverExpired(t *target) {
	if t.leadState != leadWaiting || t.handoverDue > f.now {
		return
	}
	m := t.formerLead
	if m != nil && m.listed && m.health == healthAlive && !m.reached && f.now-t.waitingSince < listLag {
		// The former lead is alive but has never answered: it may not know this
		// instance yet and still send work to the target.
		f.sendMinimalExchange(m)
		t.handoverDue = f.startTimer(view.HandoverTimeout, timer{kind: timerHandover, target: t})
		return
	}
	f.setLeadState(t, leadActive)
}

// handleDrained releases a target at which the data plane has no more work.
func (f *Fleet) handleDrained(d *view.DrainedTarget) {
	t := f.byTarget[d.Target]
	if t == nil || t.leadState != leadReleasing {
		return
	}
	f.setLeadState(t, leadNone)
	if t.lead != nil {
		f.queueRelease(t, t.lead, d.Incarnation, d.Level)
	}
}

func (f *Fleet) queueRelease(t *target, to *member, incarnation model.Incarnation, level int) {
	f.pendingReleases = append(f.pendingReleases, pendingRelease{
		to:     to,
		target: model.ReleasedTarget{Target: t.id, Incarnation: incarnation, Level: level},
	})
}

// flushReleases sends the pending releases, in one LeadRelease for each new
// lead.
func (f *Fleet) flushReleases() {
	if len(f.pendingReleases) == 0 {
		return
	}
	slices.SortStableFunc(f.pendingReleases, func(a, b pendingRelease) int { return compareMembers(a.to, b.to) })
	for i := 0; i < len(f.pendingReleases); {
		to := f.pendingReleases[i].to
		var msg model.LeadRelease
		for ; i < len(f.pendingReleases) && f.pendingReleases[i].to == to; i++ {
			msg.Targets = append(msg.Targets, f.pendingReleases[i].target)
		}
		f.send(to, msg)
	}
	f.pendingReleases = f.pendingReleases[:0]
}

// handleLeadRelease handles the release of targets by their former lead. If this
// instance waits for the handover, it becomes the active lead. If it leads already,
// the release is ignored. Otherwise the release is forwarded to the present lead,
// or kept in case this instance becomes the lead soon.
func (f *Fleet) handleLeadRelease(m *member, msg *model.LeadRelease) {
	for i := range msg.Targets {
		r := &msg.Targets[i]
		t := f.byTarget[r.Target]
		switch {
		case t == nil:
		case t.leadState == leadWaiting:
			f.setLeadState(t, leadActive)
		case t.lead == f.self:
		case t.forwardUntil > f.now && t.lead != nil && t.lead != m:
			t.forwardUntil = 0
			f.queueRelease(t, t.lead, r.Incarnation, r.Level)
		default:
			t.releasedAt, t.releasedBy = f.now, m
		}
	}
}

// reacquireLeads makes this instance wait for a handover of the targets that
// it led before a suspension of the given length, because another member may
// have become their lead in the meantime.
func (f *Fleet) reacquireLeads(duration time.Duration) {
	if duration < reacquireAfter || !f.usesSingleLeads() || len(f.listed) <= 1 {
		return
	}
	for _, t := range f.self.leads {
		if t.leadState == leadActive || t.leadState == leadWaiting {
			t.formerLead = nil
			f.waitForHandover(t)
		}
	}
}
