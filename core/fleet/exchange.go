package fleet

import (
	"math/bits"
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// fullSyncRounds is the number of replies that an instance must receive after a
// start or a suspension before its exchanges stop carrying the whole version
// vector. Replies with maxTargetsReply or more target states do not count.
const fullSyncRounds = 3

// exchanger holds the state of the gossip exchange with peers.
type exchanger struct {
	round           uint64    // number of the last request
	suspensionRound uint64    // last round that was sent before a suspension
	peerOrder       []*member // shuffled; peers before peerCursor have had their turn in this cycle
	peerCursor      int
	lostQueue       []*member     // suspected and excluded members, in the order of their next request
	seenCursor      int           // next member of the list to name in a version vector
	fullSyncsLeft   int           // counts down from fullSyncRounds
	lastReplyAt     time.Duration // arrival of the last reply to a request from this instance
	lastRequestAt   time.Duration // arrival of the last request from another member

	memberPushes  pushQueue[*member]
	targetPushes  pushQueue[*target]
	indirectPings []indirectPing
	pollCursor    int
}

// publications holds the target states that one incarnation of a member has
// published, as a list linked in ascending order of their numbers.
type publications struct {
	first, last     *target
	completeUpTo    uint64 // all publications of the member up to this number are known
	requestedRound  uint64 // last request whose version vector named the member
	incompleteRound uint64 // round whose reply held a state that could not be stored
}

// linkPublication moves a target into the publications of the member, at the
// position of its number.
func (f *Fleet) linkPublication(t *target, m *member) {
	f.unlinkPublication(t)
	t.publisher = m
	prev := m.publications.last
	for prev != nil && prev.state.Number > t.state.Number {
		prev = prev.older
	}
	t.older = prev
	if prev == nil {
		t.newer, m.publications.first = m.publications.first, t
	} else {
		t.newer, prev.newer = prev.newer, t
	}
	if t.newer == nil {
		m.publications.last = t
	} else {
		t.newer.older = t
	}
}

func (f *Fleet) unlinkPublication(t *target) {
	m := t.publisher
	if m == nil {
		return
	}
	if t.older == nil {
		m.publications.first = t.newer
	} else {
		t.older.newer = t.newer
	}
	if t.newer == nil {
		m.publications.last = t.older
	} else {
		t.newer.older = t.older
	}
	t.older, t.newer, t.publisher = nil, nil, nil
}

// dropPublications unlinks all publications of a member that restarted or left
// the list. The targets keep these states until a later state replaces them.
func (f *Fleet) dropPublications(m *member) {
	for m.publications.first != nil {
		f.unlinkPublication(m.publications.first)
	}
	m.publications = publications{}
}

func (f *Fleet) startExchange() {
	f.listedAt = f.now
	f.startTimer(firstAnswerWait, timer{kind: timerCheck})
	f.startTimer(listLag, timer{kind: timerCheck})
	for _, m := range f.randomPeers(minReaders+1, nil) {
		f.sendMinimalExchange(m)
	}
	first := time.Duration(f.rng.Int64N(int64(view.ExchangeInterval)))
	f.startTimer(first, timer{kind: timerExchange})
}

// insertIntoPeerOrder puts a new member at a random position among the peers that
// have not had their turn in this cycle.
func (f *Fleet) insertIntoPeerOrder(m *member) {
	if m == f.self {
		return
	}
	f.peerOrder = append(f.peerOrder, m)
	last := len(f.peerOrder) - 1
	pos := f.peerCursor + f.rng.IntN(last-f.peerCursor+1)
	f.peerOrder[pos], f.peerOrder[last] = f.peerOrder[last], f.peerOrder[pos]
}

// nextPeer returns the next alive peer of the shuffled order, or nil if there is
// none. It shuffles all peers again at the end of each cycle.
func (f *Fleet) nextPeer() *member {
	for range 2 {
		for f.peerCursor < len(f.peerOrder) {
			m := f.peerOrder[f.peerCursor]
			f.peerCursor++
			if m.listed && m.health == healthAlive {
				return m
			}
		}
		f.peerOrder = f.peerOrder[:0]
		for _, m := range f.listed {
			if m != f.self {
				f.peerOrder = append(f.peerOrder, m)
			}
		}
		f.rng.Shuffle(len(f.peerOrder), func(i, j int) {
			f.peerOrder[i], f.peerOrder[j] = f.peerOrder[j], f.peerOrder[i]
		})
		f.peerCursor = 0
	}
	return nil
}

func (f *Fleet) exchangeRound(due time.Duration) {
	f.timers.push(timer{kind: timerExchange, at: max(due+view.ExchangeInterval, f.now)})
	if m := f.nextPeer(); m != nil {
		f.sendExchange(m)
	}
	// One lost member gets a request too, so that both sides of a partition find
	// each other after the partition has healed.
	if m := f.nextLostPeer(); m != nil {
		f.sendMinimalExchange(m)
	}
	f.pollPeers()
}

func (f *Fleet) nextLostPeer() *member {
	for len(f.lostQueue) > 0 {
		m := f.lostQueue[0]
		f.lostQueue = f.lostQueue[1:]
		if m.listed && m.health != healthAlive {
			f.lostQueue = append(f.lostQueue, m)
			return m
		}
		m.inLostQueue = false
	}
	return nil
}

// sendExchange sends a request with pushed changes and version vector entries.
func (f *Fleet) sendExchange(m *member) {
	msg := f.newRequest(m)
	msg.Seen = f.nextSeenEntries(m)
	msg.Members = f.takeMemberPushes(msg.Members)
	msg.Targets = f.takeTargetPushes(nil, nil)
	f.send(m, msg)
}

// sendMinimalExchange sends a request without a version vector or pushed
// changes, which serves as a ping and asks for the peer's member state and
// configuration order.
func (f *Fleet) sendMinimalExchange(m *member) { f.send(m, f.newRequest(m)) }

func (f *Fleet) newRequest(m *member) model.Exchange {
	f.round++
	m.requestRound, m.requestSentAt = f.round, f.now
	// Silence proves nothing while this instance starts, because peers may not
	// know its address yet.
	if m.unansweredRound == 0 && m.health == healthAlive && f.self.status != model.MemberStarting {
		m.unansweredRound, m.indirectPhase = f.round, false
		m.answerDue = f.startTimer(view.PingTimeout, timer{kind: timerPing, member: m})
	}
	return model.Exchange{Round: f.round, Config: f.configState(), Members: f.memberStatesFor(m)}
}

// memberStatesFor returns the state of this instance and, if the receiver is
// suspected or excluded, the state of the receiver, so that it can refute.
func (f *Fleet) memberStatesFor(m *member) []model.MemberState {
	states := []model.MemberState{f.memberState(f.self)}
	if m.known && m.health != healthAlive {
		states = append(states, f.memberState(m))
	}
	return states
}

// nextSeenEntries returns the next entries of the version vector: those of
// maxSeenEntries members, or of all members in a small fleet and after a start or
// suspension. The receiver sends missing states only for the origins that these
// entries name. The receiver itself is always named, because only an origin is
// certain to know all of its own publications.
func (f *Fleet) nextSeenEntries(to *member) []model.SeenUpTo {
	count := len(f.listed)
	if count > maxSeenEntries && f.fullSyncsLeft == 0 {
		count = maxSeenEntries
	}
	seen := []model.SeenUpTo{f.seenUpTo(to)}
	for range count {
		if f.seenCursor >= len(f.listed) {
			f.seenCursor = 0
		}
		m := f.listed[f.seenCursor]
		f.seenCursor++
		if m != f.self && m != to {
			seen = append(seen, f.seenUpTo(m))
		}
	}
	slices.SortFunc(seen, func(a, b model.SeenUpTo) int { return compareIDs(a.Origin, b.Origin) })
	return seen
}

func (f *Fleet) seenUpTo(m *member) model.SeenUpTo {
	m.publications.requestedRound = f.round
	s := model.SeenUpTo{Origin: m.id}
	if m.known {
		s.Incarnation, s.Number = m.incarnation, m.publications.completeUpTo
	}
	return s
}

func (f *Fleet) handleExchange(m *member, msg *model.Exchange) {
	if msg.Reply && msg.Round <= f.suspensionRound {
		// The reply may have been sent before the end of the suspension.
		return
	}
	for i := range msg.Members {
		f.mergeMember(&msg.Members[i])
	}
	f.mergeTargets(msg)
	f.fetchIfLater(m, msg.Config.Order)
	if msg.Reply {
		f.handleExchangeReply(m, msg)
		return
	}
	f.handleExchangeRequest(m, msg)
}

// mergeTargets merges the target states of a message. A reply also says up to
// which number this instance now has all publications of an origin that the
// request named.
func (f *Fleet) mergeTargets(msg *model.Exchange) {
	for i := range msg.Targets {
		s := &msg.Targets[i]
		if f.mergeTarget(s) || !msg.Reply {
			continue
		}
		if m := f.byID[s.Origin]; m != nil {
			m.publications.incompleteRound = msg.Round
		}
	}
	if !msg.Reply {
		return
	}
	for i := range msg.Seen {
		s := &msg.Seen[i]
		m := f.byID[s.Origin]
		if m == nil || m == f.self || m.publications.requestedRound != msg.Round || m.publications.incompleteRound == msg.Round {
			continue
		}
		if s.Incarnation == m.incarnation {
			m.publications.completeUpTo = max(m.publications.completeUpTo, s.Number)
		}
	}
}

func (f *Fleet) handleExchangeReply(m *member, msg *model.Exchange) {
	f.lastReplyAt = f.now
	if m.unansweredRound != 0 && msg.Round >= m.unansweredRound {
		m.unansweredRound = 0
	}
	f.answerIndirectPings(m)
	if f.fullSyncsLeft > 0 && len(msg.Targets) < maxTargetsReply {
		f.fullSyncsLeft--
	}
	ownOrder := f.configOrder()
	agreesOnSet := m.status != model.MemberStarting && !isLaterOrder(msg.Config.Order, ownOrder)
	f.setContact(m, m.health, true, agreesOnSet)
	if msg.Round == m.requestRound && msg.Config.Confirmed && msg.Config.Order == ownOrder {
		// The peer computed the age after the request was sent, so that its set
		// was confirmed at this time or later.
		f.confirm(m.requestSentAt - msg.Config.ConfirmedAge)
	}
}

func (f *Fleet) handleExchangeRequest(m *member, msg *model.Exchange) {
	f.lastRequestAt = f.now
	reply := model.Exchange{Round: msg.Round, Reply: true, Config: f.configState(), Members: f.memberStatesFor(m)}
	for i := range msg.Seen {
		f.appendMissing(&reply, &msg.Seen[i])
	}
	reply.Members = f.takeMemberPushes(reply.Members)
	reply.Targets = f.takeTargetPushes(reply.Targets, msg.Seen)
	f.send(m, reply)
}

// appendMissing adds to a reply what the sender of a version vector entry lacks,
// oldest first. Publications that arrived here by push can leave gaps. The reply
// therefore claims to be complete only up to the last number for which this
// instance knows all earlier publications of the origin.
func (f *Fleet) appendMissing(reply *model.Exchange, s *model.SeenUpTo) {
	m := f.byID[s.Origin]
	if m == nil || !m.known || s.Incarnation > m.incarnation {
		return
	}
	number, upTo := s.Number, m.publications.completeUpTo
	if m == f.self {
		upTo = f.maxNumber
	}
	if s.Incarnation < m.incarnation {
		number = 0
	}
	// A suspicion has no number of its own that the vector could cover. Replies
	// repeat it as long as it lasts, in case all pushes of the suspicion missed
	// the receiver.
	if m != f.self && (m.heartbeat > number || number == 0 || m.health != healthAlive) {
		reply.Members = append(reply.Members, f.memberState(m))
	}
	t := m.publications.last
	for t != nil && t.older != nil && t.older.state.Number > number {
		t = t.older
	}
	for ; t != nil && t.state.Number > number; t = t.newer {
		if len(reply.Targets) >= maxTargetsReply {
			upTo = min(upTo, t.state.Number-1)
			break
		}
		reply.Targets = append(reply.Targets, t.state)
	}
	if upTo > number {
		reply.Seen = append(reply.Seen, model.SeenUpTo{Origin: m.id, Incarnation: m.incarnation, Number: upTo})
	}
}

// pushQueue is a queue of changed entities whose state is pushed with the next
// messages. Entities that have not been pushed go first, so that repeated pushes
// of a burst do not delay new changes.
type pushQueue[T any] struct {
	unsent []T
	resend []T // pushed at least once, in the order of their next push
}

// pushState counts the messages in which the last change of an entity was
// pushed.
type pushState struct {
	queued    bool
	pushCount int
}

// add queues a changed entity and sets its push count to zero. An entity that is
// already queued keeps its position.
func (q *pushQueue[T]) add(v T, s *pushState) {
	s.pushCount = 0
	if !s.queued {
		s.queued = true
		q.unsent = append(q.unsent, v)
	}
}

// take calls push for up to count entities. Entities that have been pushed fewer
// than pushLimit times are queued again.
func (q *pushQueue[T]) take(count, pushLimit int, state func(T) *pushState, push func(T)) {
	unsentCount := min(count, len(q.unsent))
	resendCount := min(count-unsentCount, len(q.resend))
	taken := append(slices.Clone(q.unsent[:unsentCount]), q.resend[:resendCount]...)
	q.unsent = slices.Delete(q.unsent, 0, unsentCount)
	q.resend = slices.Delete(q.resend, 0, resendCount)
	for _, v := range taken {
		push(v)
		s := state(v)
		s.pushCount++
		s.queued = s.pushCount < pushLimit
		if s.queued {
			q.resend = append(q.resend, v)
		}
	}
}

func (f *Fleet) queueMemberPush(m *member) { f.memberPushes.add(m, &m.push) }

func (f *Fleet) queueTargetPush(t *target) { f.targetPushes.add(t, &t.push) }

// pushesPerChange is the number of messages in which one instance pushes a
// change. If it exceeds the logarithm of the fleet size by c, a member misses
// the change with a probability of about exp(-c); the rotating version vector
// then delivers it.
func (f *Fleet) pushesPerChange() int { return bits.Len(uint(len(f.listed))) + 3 }

func (f *Fleet) takeMemberPushes(states []model.MemberState) []model.MemberState {
	state := func(m *member) *pushState { return &m.push }
	f.memberPushes.take(maxMemberPushes, f.pushesPerChange(), state, func(m *member) {
		if m.listed && !hasMember(states, m.id) {
			states = append(states, f.memberState(m))
		}
	})
	return states
}

func hasMember(states []model.MemberState, id model.InstanceID) bool {
	return slices.ContainsFunc(states, func(s model.MemberState) bool { return s.ID == id })
}

// takeTargetPushes appends the next target states to push. It leaves out states
// whose origin is in requested, because the reply already has the publications of
// these origins. requested is sorted by origin.
func (f *Fleet) takeTargetPushes(states []model.TargetState, requested []model.SeenUpTo) []model.TargetState {
	state := func(t *target) *pushState { return &t.push }
	f.targetPushes.take(maxTargetPushes, f.pushesPerChange(), state, func(t *target) {
		if !t.removed && t.publisher != nil && !namesOrigin(requested, t.state.Origin) {
			states = append(states, t.state)
		}
	})
	return states
}

func namesOrigin(seen []model.SeenUpTo, id model.InstanceID) bool {
	_, ok := slices.BinarySearchFunc(seen, id, func(s model.SeenUpTo, id model.InstanceID) int {
		return compareIDs(s.Origin, id)
	})
	return ok
}

// randomPeers returns up to count different alive peers, except the given one,
// which may be nil.
func (f *Fleet) randomPeers(count int, except *member) []*member {
	var peers []*member
	usable := func(m *member) bool {
		return m != f.self && m != except && m.health == healthAlive && !slices.Contains(peers, m)
	}
	if len(f.listed) <= 2*count+2 {
		for _, i := range f.rng.Perm(len(f.listed)) {
			if m := f.listed[i]; len(peers) < count && usable(m) {
				peers = append(peers, m)
			}
		}
		return peers
	}
	for tries := 0; len(peers) < count && tries < 8*count; tries++ {
		if m := f.listed[f.rng.IntN(len(f.listed))]; usable(m) {
			peers = append(peers, m)
		}
	}
	return peers
}

// announceFanout is the number of peers to which a change is sent at once.
func (f *Fleet) announceFanout() int {
	n := len(f.listed)
	if n <= announceAllMax {
		return n
	}
	return max(minReaders, bits.Len(uint(n-1))) + 1
}
