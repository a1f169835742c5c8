package fleet

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/rank"
)

// health is this instance's own finding about a member.
type health uint8

const (
	healthAlive health = iota
	healthSuspected
	healthExcluded // suspected for view.SuspicionTime without refutation
)

func (s health) String() string { return [...]string{"alive", "suspected", "excluded"}[s] }

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
	leaving bool // by the platform's list

	// The state that the member announces. known is false until it is seen.
	known       bool
	incarnation model.Incarnation
	heartbeat   uint64 // drawn from the same numbers as the publications
	status      model.MemberStatus

	health      health
	suspectedAt time.Duration
	// reached is true after an answer of the member to a message that was sent
	// after this instance started or resumed. agrees is true if that answer
	// came from a member past its start that holds no newer set.
	reached     bool
	agreesOnSet bool

	requestRound    uint64        // last exchange request to the member
	requestSentAt   time.Duration // of askRound
	unansweredRound uint64        // oldest unanswered request, 0 if none
	answerDue       time.Duration // end of the current wait, direct or indirect
	indirectPhase   bool          // other members have been asked
	inLostQueue     bool          // is in Fleet.lost

	publications publications // publications of the member

	readerCandidate bool // counts for the ranking of readers
	isEligible      bool
	eligibleIndex   int // in Fleet.eligible
	placeIndex      int // in place.eligible
	leads           []*target

	assignEpoch uint64 // of the group assignment that useCount belongs to
	groupLeads  int

	push pushState
}

// place is a data centre, from the list or from the set.
type place struct {
	id       model.PlaceID
	eligible []*member
	targets  []*target

	out             bool
	awaitsAdmission bool // returned, but an earlier place is still warming up
	warmCount       int  // targets at half of their slots or more
	undrainedCount  int  // targets that are not set to drain
}

// membership holds the members and what this instance counts over them.
type membership struct {
	self    *member
	byID    map[model.InstanceID]*member
	listed  []*member // sorted by id
	hasList bool      // a list has been read
	places  map[model.PlaceID]*place

	placeList      []*place // in the order of their first mention
	returnQueue    []*place // returned places that wait, in their order
	lastAdmitted   *place   // admitted last
	lastAdmittedAt time.Duration

	reachedCount    int // listed, reached and alive
	agreeingCount   int // listed, agrees and alive, without self
	candidatesAhead int // members that rank before self for reading
	candidateCount  int
}

func (f *Fleet) place(id model.PlaceID) *place {
	p := f.places[id]
	if p == nil {
		p = &place{id: id}
		f.places[id] = p
		f.placeList = append(f.placeList, p)
	}
	return p
}

// instanceList takes over the platform's list. A failed read keeps the last
// one, and so does an empty list once one is held, because a list without this
// very instance cannot be complete. A first list that is empty counts as a
// list of this instance alone: nobody has been registered before it.
func (f *Fleet) handleInstanceList(in *model.InstanceList) {
	if !in.OK {
		return
	}
	infos := in.Instances
	if len(infos) == 0 {
		if f.hasList {
			f.warn("InstanceListEmpty", string(f.cfg.Self), "", "last list kept")
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

// mergeList walks the old and the new list, both sorted by id.
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
		f.event("MemberListed", string(m.id), "", info.Address)
		f.insertIntoPeerOrder(m)
	}
	if m.leaving != info.Leaving {
		f.event("MemberLeaving", string(m.id), formatBool(m.leaving), formatBool(info.Leaving))
		m.leaving = info.Leaving
	}
	if m != f.self {
		m.address = info.Address
	}
	if m == f.self && m.place.id != info.Place {
		f.warn("PlaceMismatch", string(m.id), string(m.place.id), string(info.Place))
	}
	// Peers know the place of this instance from the list only. With another
	// place from its settings, the two sides would rank it differently and
	// choose two leads.
	f.setPlace(m, f.place(info.Place))
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
	f.event("MemberUnlisted", string(m.id), statusName(m.status), "")
	f.updateMember(m)
	if m == f.self {
		return
	}
	f.addLostPeer(m)
	f.dropPublications(m)
	delete(f.byID, m.id)
}

// updateMember applies a change of a member's state to the rankings.
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

// recount counts what depends on the whole list.
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

// setContact changes what counts as contact with a listed member.
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

// seenAlive notes a message of a member's life. It reports false if the
// message is from a life that is over.
func (f *Fleet) noteIncarnation(m *member, incarnation model.Incarnation) bool {
	if m.known && incarnation < m.incarnation {
		return false
	}
	if !m.known || incarnation > m.incarnation {
		f.startIncarnation(m, incarnation)
	}
	return true
}

// newLife resets a member whose first message or restart was seen. It starts
// without work, whatever the life before did.
func (f *Fleet) startIncarnation(m *member, incarnation model.Incarnation) {
	if m.known {
		f.warn("MemberRestarted", string(m.id), formatIncarnation(m.incarnation), formatIncarnation(incarnation))
		f.addLostPeer(m)
	}
	m.known = true
	m.incarnation, m.heartbeat, m.status = incarnation, 0, model.MemberStarting
	f.dropPublications(m)
	f.setContact(m, healthAlive, m.reached, false)
	m.unansweredRound = 0
	f.updateMember(m)
}

// mergeMember takes over the state of a member as a peer knows it.
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

// advanceMember takes over a state that the member announced later than the
// known one. A higher heartbeat also refutes a suspicion.
func (f *Fleet) advanceMember(m *member, s *model.MemberState) {
	before := m.status
	m.heartbeat, m.status = s.Heartbeat, s.Status
	if before != s.Status {
		f.event("MemberStatus", string(m.id), statusName(before), statusName(s.Status))
	}
	if m.health != healthAlive {
		f.event("MemberRefuted", string(m.id), m.health.String(), healthAlive.String())
		f.setContact(m, healthAlive, m.reached, m.agreesOnSet)
		m.unansweredRound = 0
	}
	f.updateMember(m)
	f.queueMemberPush(m)
	if s.Suspected {
		f.suspect(m)
	}
}

// mergeSelf refutes a suspicion of this instance by a higher heartbeat and
// tells some peers at once, so that it arrives before the exclusion. If a
// later life of the same id exists, this one is not served any more.
func (f *Fleet) mergeSelf(s *model.MemberState) {
	if s.Incarnation > f.cfg.Incarnation {
		if !f.superseded {
			f.warn("DuplicateInstance", string(s.ID), formatIncarnation(f.cfg.Incarnation), formatIncarnation(s.Incarnation))
		}
		f.superseded = true
		return
	}
	if s.Incarnation == f.cfg.Incarnation && s.Suspected && s.Heartbeat >= f.self.heartbeat {
		f.maxNumber = max(f.maxNumber, s.Heartbeat)
		f.announceSelf()
	}
}

// announceSelf spreads a new state of this instance.
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
	f.event("MemberStatus", string(f.cfg.Self), statusName(f.self.status), statusName(s))
	f.self.status = s
	f.updateMember(f.self)
	f.announceSelf()
}

// mute reports whether this instance hears others but gets no answers, so that
// the others are about to exclude it although it sees them alive.
func (f *Fleet) isUnheard() bool { return f.lastRequestAt-f.lastReplyAt > unheardAfter }

// updateSelfEligibility lets this instance lead. A draining instance leads
// only while no other member can: otherwise its targets would get no work
// while the balancer still sends calls here.
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
