package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/rank"
)

// health is what this instance's failure detector concludes about a member.
type health uint8

const (
	healthAlive health = iota
	healthSuspected
	healthExcluded // suspected for view.SuspicionTimeout without refutation
)

func (h health) String() string { return [...]string{"alive", "suspected", "excluded"}[h] }

func statusName(s model.MemberStatus) string {
	switch s {
	case model.MemberServing:
		return "serving"
	case model.MemberDraining:
		return "draining"
	default:
		return "starting"
	}
}

// member is one instance on the platform's list, or this instance itself.
type member struct {
	id      model.InstanceID
	hash    uint64
	address string
	place   *place
	listed  bool
	leaving bool // as marked on the platform's list

	// The state that the member announces. known is false until a message from
	// the member, or the member's state from a peer, has arrived.
	known       bool
	incarnation model.Incarnation
	heartbeat   uint64 // from the same counter as publication numbers
	status      model.MemberStatus

	health      health
	suspectedAt time.Duration
	// reached is true once the member has answered a request that was sent
	// after this instance started or resumed from a suspension. agreesOnSet is
	// true if the member was not starting when it last answered and held no
	// later set than this instance.
	reached     bool
	agreesOnSet bool

	requestRound    uint64        // round of the last exchange request to the member
	requestSentAt   time.Duration // time of requestRound
	unansweredRound uint64        // round of the oldest unanswered request, 0 if none
	answerDue       time.Duration // time limit of the direct or indirect ping
	indirectPhase   bool          // other members have been asked to ping this member
	inLostQueue     bool          // is in exchanger.lostQueue

	publications publications // states that the member has published

	readerCandidate bool // may be chosen as a reader of the configuration service
	isEligible      bool // may lead targets
	eligibleIndex   int  // in assignment.eligible
	placeIndex      int  // in place.eligible
	leads           []*target

	assignEpoch uint64 // group assignment that groupLeads belongs to
	groupLeads  int    // targets of that group that the member leads

	push pushState
}

// place is a data centre that the instance list or a set names.
type place struct {
	id       model.PlaceID
	eligible []*member
	targets  []*target

	out             bool // out of service by the orders of the set
	awaitsAdmission bool // is in membership.returnQueue
	warmCount       int  // undrained targets whose warm-up level is at least half of their slots
	undrainedCount  int  // targets that the set does not drain
}

// membership holds the members, the places, and counts over the members.
type membership struct {
	self    *member
	byID    map[model.InstanceID]*member
	listed  []*member // sorted by id
	hasList bool      // a list has been read
	places  map[model.PlaceID]*place

	placeList      []*place // in the order of their first appearance
	returnQueue    []*place // places back in service that wait for admission
	lastAdmitted   *place   // place admitted last, nil if none is waiting
	lastAdmittedAt time.Duration

	reachedCount    int // listed members that are alive and reached, including self
	agreeingCount   int // listed members that are alive and agree on the set, excluding self
	candidatesAhead int // reader candidates that outrank self
	candidateCount  int
}

func (f *Fleet) findOrAddPlace(id model.PlaceID) *place {
	p := f.places[id]
	if p == nil {
		p = &place{id: id}
		f.places[id] = p
		f.placeList = append(f.placeList, p)
	}
	return p
}

// handleInstanceList applies the platform's list. After a failed read the last
// list stays in use. An empty list is ignored if an earlier list is in use,
// because it lacks at least this instance. An empty first list counts as a list
// of this instance alone: no other instance has been registered yet.
func (f *Fleet) handleInstanceList(in *model.InstanceList) {
	if !in.OK {
		return
	}
	infos := in.Instances
	if len(infos) == 0 {
		if f.hasList {
			f.emitWarning("InstanceListEmpty", string(f.cfg.Self), "", "last list kept")
			return
		}
		infos = []model.InstanceInfo{{ID: f.cfg.Self, Address: f.cfg.Address, Place: f.cfg.Place}}
	}
	infos = slices.Clone(infos)
	slices.SortStableFunc(infos, func(a, b model.InstanceInfo) int {
		return compareIDs(a.ID, b.ID)
	})
	infos = slices.CompactFunc(infos, func(a, b model.InstanceInfo) bool { return a.ID == b.ID })
	first := !f.hasList
	f.hasList = true
	if f.sameList(infos) {
		return
	}
	f.mergeList(infos)
	f.recountContacts()
	if first {
		f.startExchange()
	}
}

func compareIDs(a, b model.InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (f *Fleet) sameList(infos []model.InstanceInfo) bool {
	return slices.EqualFunc(infos, f.listed, func(a model.InstanceInfo, m *member) bool {
		return a.ID == m.id && a.Address == m.address && a.Place == m.place.id && a.Leaving == m.leaving
	})
}

// mergeList replaces the listed members by those of the new list. Both lists
// are sorted by id.
func (f *Fleet) mergeList(infos []model.InstanceInfo) {
	old := f.listed
	next := make([]*member, 0, len(infos))
	for i := range infos {
		info := &infos[i]
		for len(old) > 0 && old[0].id < info.ID {
			f.unlistMember(old[0])
			old = old[1:]
		}
		if len(old) > 0 && old[0].id == info.ID {
			old = old[1:]
		}
		next = append(next, f.listMember(info))
	}
	for _, m := range old {
		f.unlistMember(m)
	}
	f.listed = next
}

func (f *Fleet) listMember(info *model.InstanceInfo) *member {
	m := f.byID[info.ID]
	if m == nil {
		m = &member{id: info.ID, hash: rank.Hash(string(info.ID))}
		f.byID[info.ID] = m
	}
	if !m.listed {
		m.listed = true
		f.emitEvent("MemberListed", string(m.id), "", info.Address)
		f.insertIntoPeerOrder(m)
	}
	if m.leaving != info.Leaving {
		f.emitEvent("MemberLeaving", string(m.id), formatBool(m.leaving), formatBool(info.Leaving))
		m.leaving = info.Leaving
	}
	if m != f.self {
		m.address = info.Address
	}
	if m == f.self && m.place.id != info.Place {
		f.emitWarning("PlaceMismatch", string(m.id), string(m.place.id), string(info.Place))
	}
	// The list decides the place of every member, this instance included. Peers
	// know only the place on the list. If this instance used the place from its
	// settings, it would rank itself differently than its peers do, and a target
	// could get two leads.
	f.setPlace(m, f.findOrAddPlace(info.Place))
	f.updateMember(m)
	return m
}

func (f *Fleet) setPlace(m *member, p *place) {
	if m.place == p {
		return
	}
	f.removeEligible(m)
	m.place = p
}

func (f *Fleet) unlistMember(m *member) {
	m.listed = false
	f.emitEvent("MemberUnlisted", string(m.id), statusName(m.status), "")
	f.updateMember(m)
	if m == f.self {
		return
	}
	f.addLostPeer(m)
	f.dropPublications(m)
	delete(f.byID, m.id)
}

// updateMember updates whether a member may lead targets and whether it may be
// chosen as a reader of the configuration service. For this instance,
// updateSelfEligibility decides whether it may lead.
func (f *Fleet) updateMember(m *member) {
	if m != f.self {
		f.setEligible(m, f.canLead(m))
	}
	f.setReaderCandidate(m, m.listed && !m.leaving && m.health != healthExcluded && m.status != model.MemberDraining)
}

func (f *Fleet) canLead(m *member) bool {
	return m.listed && m.known && !m.leaving && m.status == model.MemberServing && m.health != healthExcluded
}

func (f *Fleet) setReaderCandidate(m *member, candidate bool) {
	if m.readerCandidate == candidate {
		return
	}
	m.readerCandidate = candidate
	delta := 1
	if !candidate {
		delta = -1
	}
	f.candidateCount += delta
	if m != f.self && f.outranksSelfAsReader(m) {
		f.candidatesAhead += delta
	}
}

// recountContacts computes the contact counts from the whole list.
func (f *Fleet) recountContacts() {
	f.reachedCount, f.agreeingCount = 0, 0
	for _, m := range f.listed {
		if m.health != healthAlive {
			continue
		}
		if m.reached {
			f.reachedCount++
		}
		if m.agreesOnSet {
			f.agreeingCount++
		}
	}
}

// setContact sets the fields of a member that the contact counts depend on, and
// adjusts the counts.
func (f *Fleet) setContact(m *member, h health, reached, agreesOnSet bool) {
	wasReached := m.reached && m.health == healthAlive
	wasAgreeing := m.agreesOnSet && m.health == healthAlive
	m.health, m.reached, m.agreesOnSet = h, reached, agreesOnSet
	if m.listed {
		f.reachedCount += countDelta(wasReached, reached && h == healthAlive)
		f.agreeingCount += countDelta(wasAgreeing, agreesOnSet && h == healthAlive)
	}
}

func countDelta(before, after bool) int {
	switch {
	case before == after:
		return 0
	case after:
		return 1
	}
	return -1
}

// noteIncarnation records that the given incarnation of a member exists. It
// returns false if a later incarnation is known.
func (f *Fleet) noteIncarnation(m *member, incarnation model.Incarnation) bool {
	if m.known && incarnation < m.incarnation {
		return false
	}
	if !m.known || incarnation > m.incarnation {
		f.startIncarnation(m, incarnation)
	}
	return true
}

// startIncarnation resets the state of a member that is seen for the first time
// or has restarted. A new incarnation starts without leads or work.
func (f *Fleet) startIncarnation(m *member, incarnation model.Incarnation) {
	if m.known {
		f.emitWarning("MemberRestarted", string(m.id), formatIncarnation(m.incarnation), formatIncarnation(incarnation))
		f.addLostPeer(m)
	}
	m.known = true
	m.incarnation, m.heartbeat, m.status = incarnation, 0, model.MemberStarting
	f.dropPublications(m)
	f.setContact(m, healthAlive, m.reached, false)
	m.unansweredRound = 0
	f.updateMember(m)
}

// mergeMember merges the state of a member that a peer sent.
func (f *Fleet) mergeMember(s *model.MemberState) {
	if s.ID == f.cfg.Self {
		f.mergeSelf(s)
		return
	}
	m := f.byID[s.ID]
	if m == nil || !m.listed || !f.noteIncarnation(m, s.Incarnation) {
		return
	}
	switch {
	case s.Heartbeat > m.heartbeat:
		f.advanceMember(m, s)
	case s.Heartbeat == m.heartbeat && s.Suspected && m.health == healthAlive:
		f.suspect(m)
	}
}

// advanceMember applies a member state with a higher heartbeat than the known
// state. The higher heartbeat also refutes a suspicion or exclusion.
func (f *Fleet) advanceMember(m *member, s *model.MemberState) {
	before := m.status
	m.heartbeat, m.status = s.Heartbeat, s.Status
	if before != s.Status {
		f.emitEvent("MemberStatus", string(m.id), statusName(before), statusName(s.Status))
	}
	if m.health != healthAlive {
		f.emitEvent("MemberRefuted", string(m.id), m.health.String(), healthAlive.String())
		f.setContact(m, healthAlive, m.reached, m.agreesOnSet)
		m.unansweredRound = 0
	}
	f.updateMember(m)
	f.queueMemberPush(m)
	if s.Suspected {
		f.suspect(m)
	}
}

// mergeSelf handles a state of this instance that a peer sent. It refutes a
// suspicion by announcing a higher heartbeat to some peers at once, before the
// suspicion becomes an exclusion. If a process with the same id and a later
// incarnation exists, this instance is no longer ready.
func (f *Fleet) mergeSelf(s *model.MemberState) {
	if s.Incarnation > f.cfg.Incarnation {
		if !f.superseded {
			f.emitWarning("DuplicateInstance", string(s.ID), formatIncarnation(f.cfg.Incarnation), formatIncarnation(s.Incarnation))
		}
		f.superseded = true
		return
	}
	if s.Incarnation == f.cfg.Incarnation && s.Suspected && s.Heartbeat >= f.self.heartbeat {
		f.maxNumber = max(f.maxNumber, s.Heartbeat)
		f.announceSelf()
	}
}

// announceSelf raises the heartbeat of this instance, pushes its state with the
// next messages and sends it to some peers at once.
func (f *Fleet) announceSelf() {
	f.maxNumber++
	f.self.heartbeat = f.maxNumber
	f.queueMemberPush(f.self)
	for _, m := range f.randomPeers(f.announceFanout(), nil) {
		f.sendMinimalExchange(m)
	}
}

func (f *Fleet) setSelfStatus(s model.MemberStatus) {
	if f.self.status == s {
		return
	}
	f.emitEvent("MemberStatus", string(f.cfg.Self), statusName(f.self.status), statusName(s))
	f.self.status = s
	f.updateMember(f.self)
	f.announceSelf()
}

// isUnheard reports whether this instance receives requests from other members
// but no answers to its own requests. The other members are then about to exclude
// it, although they seem alive to this instance.
func (f *Fleet) isUnheard() bool { return f.lastRequestAt-f.lastReplyAt > unheardAfter }

// updateSelfEligibility decides whether this instance may lead targets. A
// draining instance may lead only if no other member can: without a lead, the
// targets would get no work although the balancer still sends calls here.
func (f *Fleet) updateSelfEligibility() {
	m := f.self
	eligible := f.canLead(m) && !f.isUnheard()
	if !eligible && m.listed && m.status == model.MemberDraining && f.stopPhase < stopDone {
		others := len(f.eligible)
		if m.isEligible {
			others--
		}
		eligible = others == 0
	}
	f.setEligible(m, eligible)
}

func (f *Fleet) memberState(m *member) model.MemberState {
	return model.MemberState{
		ID: m.id, Incarnation: m.incarnation, Heartbeat: m.heartbeat,
		Status: m.status, Suspected: m.health != healthAlive,
	}
}
