package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/rank"
	"galenadyke.dev/core/view"
)

// hold says what this instance may do at a target.
type hold uint8

const (
	holdNone      hold = iota
	holdWaiting        // leads, but the former lead may still have work there
	holdActive         // leads and sends
	holdReleasing      // no longer leads; the data plane still has work there
)

func (h hold) String() string { return [...]string{"none", "waiting", "active", "releasing"}[h] }

// leadKey is the reason for which a member leads a target. The lowest key
// wins: fewest targets of the same group, own data centre, highest score,
// lowest id.
type leadKey struct {
	uses  int
	far   bool
	score uint64
	id    model.InstanceID
}

func (k *leadKey) before(o *leadKey) bool {
	switch {
	case k.uses != o.uses:
		return k.uses < o.uses
	case k.far != o.far:
		return !k.far
	case k.score != o.score:
		return k.score > o.score
	}
	return k.id < o.id
}

// group is a target group of the set in force.
type group struct {
	id      model.GroupID
	targets []*target // sorted by name
	dirty   bool
}

// assignment holds what the choice of leads depends on.
type assignment struct {
	eligible    []*member // in no particular but reproducible order
	groups      []*group  // sorted by name
	dirtyGroups []*group
	joined      []*member // became eligible since the last assignment
	weak        []*target // whose lead is missing, far or has another replica
	useEpoch    uint64
	releases    []pendingRelease
	firstLeads  bool // this instance is the first that leads
}

type pendingRelease struct {
	to     *member
	target model.ReleasedTarget
}

// shared reports whether each target has a single lead.
func (f *Fleet) shared() bool {
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
	m.eligiblePos = len(f.eligible)
	f.eligible = append(f.eligible, m)
	m.placePos = len(m.place.eligible)
	m.place.eligible = append(m.place.eligible, m)
	f.joined = append(f.joined, m)
}

func (f *Fleet) removeEligible(m *member) {
	if !m.isEligible {
		return
	}
	m.isEligible = false
	last := len(f.eligible) - 1
	f.eligible[m.eligiblePos] = f.eligible[last]
	f.eligible[m.eligiblePos].eligiblePos = m.eligiblePos
	f.eligible = f.eligible[:last]
	p := m.place
	last = len(p.eligible) - 1
	p.eligible[m.placePos] = p.eligible[last]
	p.eligible[m.placePos].placePos = m.placePos
	p.eligible = p.eligible[:last]
	// A member that leads nothing in a group was beaten by every lead of the
	// group, so that the group's choice stays the same without it.
	for _, t := range m.leads {
		f.markGroup(t.group)
	}
}

func (f *Fleet) markGroup(g *group) {
	if !g.dirty {
		g.dirty = true
		f.dirtyGroups = append(f.dirtyGroups, g)
	}
}

// assignLeads chooses leads for the groups whose choice can have changed.
func (f *Fleet) assignLeads() {
	f.firstLeads = slices.Contains(f.joined, f.self) && f.allStarting()
	for _, m := range f.joined {
		if m.isEligible {
			f.markWon(m)
		}
	}
	f.joined = f.joined[:0]
	for _, g := range f.dirtyGroups {
		g.dirty = false
		f.assignGroup(g)
	}
	f.dirtyGroups = f.dirtyGroups[:0]
}

// allStarting reports whether every other listed member has answered and has
// not begun to serve, so that nobody can have work at a target.
func (f *Fleet) allStarting() bool {
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

// markWon marks the groups in which a new member beats a lead. Only targets in
// its own data centre and targets with a weak lead are compared.
func (f *Fleet) markWon(m *member) {
	for _, t := range m.place.targets {
		if f.beats(m, t) {
			f.markGroup(t.group)
		}
	}
	for _, t := range f.weak {
		if t.place != m.place && f.beats(m, t) {
			f.markGroup(t.group)
		}
	}
}

func (f *Fleet) beats(m *member, t *target) bool {
	if t.lead == m {
		return false
	}
	key := leadKey{far: m.place != t.place, score: rank.Score(t.hash, m.hash), id: m.id}
	return t.lead == nil || key.before(&t.key)
}

// assignGroup gives the replicas of a group different leads as far as enough
// members exist, each the highest ranked that is left.
func (f *Fleet) assignGroup(g *group) {
	f.useEpoch++
	for _, t := range g.targets {
		if !f.shared() {
			f.setLead(t, f.self, leadKey{})
			continue
		}
		key, lead := f.bestLead(t)
		if lead != nil {
			lead.useEpoch, lead.useCount = f.useEpoch, key.uses+1
		}
		f.setLead(t, lead, key)
	}
}

func (f *Fleet) bestLead(t *target) (leadKey, *member) {
	best, lead := f.bestOf(t, t.place.eligible, leadKey{}, nil)
	if lead != nil && best.uses == 0 {
		return best, lead
	}
	return f.bestOf(t, f.eligible, best, lead)
}

func (f *Fleet) bestOf(t *target, members []*member, best leadKey, lead *member) (leadKey, *member) {
	for _, m := range members {
		key := leadKey{far: m.place != t.place, score: rank.Score(t.hash, m.hash), id: m.id}
		if m.useEpoch == f.useEpoch {
			key.uses = m.useCount
		}
		if lead == nil || key.before(&best) {
			best, lead = key, m
		}
	}
	return best, lead
}

func (f *Fleet) setLead(t *target, lead *member, key leadKey) {
	t.key = key
	f.setWeak(t, lead == nil || key.far || key.uses > 0)
	if t.lead == lead {
		return
	}
	before := t.lead
	f.unlinkLead(t)
	t.lead = lead
	if lead != nil {
		t.leadPos = len(lead.leads)
		lead.leads = append(lead.leads, t)
	}
	f.touch(t)
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
	m.leads[t.leadPos] = m.leads[last]
	m.leads[t.leadPos].leadPos = t.leadPos
	m.leads[last] = nil
	m.leads = m.leads[:last]
	t.lead = nil
}

func (f *Fleet) setWeak(t *target, weak bool) {
	if t.weak == weak {
		return
	}
	t.weak = weak
	if weak {
		t.weakPos = len(f.weak)
		f.weak = append(f.weak, t)
		return
	}
	last := len(f.weak) - 1
	f.weak[t.weakPos] = f.weak[last]
	f.weak[t.weakPos].weakPos = t.weakPos
	f.weak = f.weak[:last]
}

// gainLead starts the handover of a target to this instance. It begins to send
// at once only if it shares the target with nobody: it is alone on the list,
// or the policy has no leads.
func (f *Fleet) gainLead(t *target, before *member) {
	t.former = before
	f.startProbe(t)
	switch {
	case !f.shared(), len(f.listed) <= 1:
		f.setHold(t, holdActive)
	case before == nil && f.firstLeads:
		f.setHold(t, holdActive)
	case t.releasedAt > 0 && t.releasedBy == before && f.now-t.releasedAt <= releaseMemory:
		// A release of an earlier lead says nothing about the work of the last.
		f.setHold(t, holdActive)
	default:
		f.waitForHandover(t)
	}
	t.releasedAt = 0
}

func (f *Fleet) waitForHandover(t *target) {
	f.setHold(t, holdWaiting)
	t.waitingSince = f.now
	t.handoverDue = f.after(view.HandoverWait, timer{kind: timerHandover, target: t})
}

// loseLead stops this instance at a target. The data plane reports Drained
// when its last work there has ended.
func (f *Fleet) loseLead(t *target) {
	t.releasedAt = 0
	switch t.hold {
	case holdActive:
		f.setHold(t, holdReleasing)
	case holdWaiting:
		// Nothing was sent from here. The former lead can go on if it leads
		// again; its own release is passed on if another member leads now.
		f.setHold(t, holdNone)
		t.passUntil = t.handoverDue
		if t.lead != nil && t.lead == t.former {
			t.passUntil = 0
			f.release(t, t.lead, t.state.Incarnation, t.state.Level)
		}
	}
}

func (f *Fleet) setHold(t *target, h hold) {
	if t.hold == h {
		return
	}
	f.event("LeadState", string(t.id), t.hold.String(), h.String())
	if h == holdActive || t.hold == holdActive {
		f.touch(t)
	}
	t.hold = h
}

func (f *Fleet) handoverExpired(t *target) {
	if t.hold != holdWaiting || t.handoverDue > f.now {
		return
	}
	m := t.former
	if m != nil && m.listed && m.health == healthAlive && !m.reached && f.now-t.waitingSince < listLag {
		// The former lead is alive but has never answered: it may not know
		// this instance yet and go on sending.
		f.sendLight(m)
		t.handoverDue = f.after(view.HandoverWait, timer{kind: timerHandover, target: t})
		return
	}
	f.setHold(t, holdActive)
}

// drained hands a target over after the data plane's last work there.
func (f *Fleet) drained(d *view.Drained) {
	t := f.byTarget[d.Target]
	if t == nil || t.hold != holdReleasing {
		return
	}
	f.setHold(t, holdNone)
	if t.lead != nil {
		f.release(t, t.lead, d.Incarnation, d.Level)
	}
}

func (f *Fleet) release(t *target, to *member, life model.Incarnation, level int) {
	f.releases = append(f.releases, pendingRelease{
		to:     to,
		target: model.ReleasedTarget{Target: t.id, Incarnation: life, Level: level},
	})
}

// flushReleases sends one LeadRelease to each new lead.
func (f *Fleet) flushReleases() {
	if len(f.releases) == 0 {
		return
	}
	slices.SortStableFunc(f.releases, func(a, b pendingRelease) int { return compareMembers(a.to, b.to) })
	for i := 0; i < len(f.releases); {
		to := f.releases[i].to
		var msg model.LeadRelease
		for ; i < len(f.releases) && f.releases[i].to == to; i++ {
			msg.Targets = append(msg.Targets, f.releases[i].target)
		}
		f.send(to, msg)
	}
	f.releases = f.releases[:0]
}

// leadRelease takes over targets from their former lead.
func (f *Fleet) leadRelease(m *member, msg *model.LeadRelease) {
	for i := range msg.Targets {
		r := &msg.Targets[i]
		t := f.byTarget[r.Target]
		switch {
		case t == nil:
		case t.hold == holdWaiting:
			f.setHold(t, holdActive)
		case t.lead == f.self:
		case t.passUntil > f.now && t.lead != nil && t.lead != m:
			t.passUntil = 0
			f.release(t, t.lead, r.Incarnation, r.Level)
		default:
			t.releasedAt, t.releasedBy = f.now, m
		}
	}
}

// reacquireLeads makes this instance wait for a handover of the targets that
// it led before a suspension, because another member may lead them by now.
func (f *Fleet) reacquireLeads(gap time.Duration) {
	if gap < reacquireGap || !f.shared() || len(f.listed) <= 1 {
		return
	}
	for _, t := range f.self.leads {
		if t.hold == holdActive || t.hold == holdWaiting {
			t.former = nil
			f.waitForHandover(t)
		}
	}
}
