package fleet

import (
	"math/bits"
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// fullSyncRounds is the number of answered exchanges after a start or a
// suspension whose requests carry the whole version vector.
const fullSyncRounds = 3

// exchanger holds the rounds of the state exchange.
type exchanger struct {
	round           uint64 // last request
	suspensionRound uint64 // requests up to this one were sent before a suspension
	peerOrder       []*member
	peerCursor      int
	lostQueue       []*member // suspected and excluded members
	seenCursor      int
	fullSyncsLeft   int
	lastReplyAt     time.Duration // last answer to an exchange
	lastRequestAt   time.Duration // last request of another member

	memberPushes  pushQueue[*member]
	targetPushes  pushQueue[*target]
	indirectPings []indirectPing
	pollCursor    int
}

// origin holds the publications of one member's life, linked by number.
type publications struct {
	first, last     *target
	completeUpTo    uint64 // all publications up to this number are known
	requestedRound  uint64 // last request whose version vector named the origin
	incompleteRound uint64 // round whose reply had a state that was not kept
}

// linkOrigin moves a target into the publications of the member.
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

// unlinkOrigin forgets the publications of a life that is over. The states
// stay until another lead publishes.
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

// joinOrder puts a new member at a random place of the present round.
func (f *Fleet) insertIntoPeerOrder(m *member) {
	if m == f.self {
		return
	}
	f.peerOrder = append(f.peerOrder, m)
	last := len(f.peerOrder) - 1
	pos := f.peerCursor + f.rng.IntN(last-f.peerCursor+1)
	f.peerOrder[pos], f.peerOrder[last] = f.peerOrder[last], f.peerOrder[pos]
}

// nextPeer returns the next alive peer of the shuffled order, nil if there is
// none.
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
	// A member that seems dead is still asked, beside the round of the others,
	// so that both sides of a partition find each other when it heals.
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

// sendExchange sends a request with changes and a part of the version vector.
func (f *Fleet) sendExchange(m *member) {
	msg := f.newRequest(m)
	msg.Seen = f.nextSeenEntries(m)
	msg.Members = f.takeMemberPushes(msg.Members)
	msg.Targets = f.takeTargetPushes(nil, nil)
	f.send(m, msg)
}

// sendLight sends a request that only asks for the peer's state and
// configuration order.
func (f *Fleet) sendMinimalExchange(m *member) { f.send(m, f.newRequest(m)) }

func (f *Fleet) newRequest(m *member) model.Exchange {
	f.round++
	m.requestRound, m.requestSentAt = f.round, f.now
	// While it starts, peers may not know the address of this instance yet,
	// and their silence says nothing about them.
	if m.unansweredRound == 0 && m.health == healthAlive && f.self.status != model.MemberStarting {
		m.unansweredRound, m.indirectPhase = f.round, false
		m.answerDue = f.startTimer(view.PingTimeout, timer{kind: timerPing, member: m})
	}
	return model.Exchange{Round: f.round, Config: f.configState(), Members: f.memberStatesFor(m)}
}

// selfAnd returns the state of this instance and, if the receiver is held for
// dead, the receiver's, so that it can refute.
func (f *Fleet) memberStatesFor(m *member) []model.MemberState {
	states := []model.MemberState{f.memberState(f.self)}
	if m.known && m.health != healthAlive {
		states = append(states, f.memberState(m))
	}
	return states
}

// takeSeen returns the next part of the version vector, or all of it in a
// small fleet and after a start. An origin that is not named is not asked for.
// The receiver is always named, because only an origin itself surely knows all
// of its publications.
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
		// The answer can be as old as the suspension.
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

// mergeTargets takes over target states. A reply states up to which number it
// completes the publications of an origin that the request named.
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
	agreesOnSet := m.status != model.MemberStarting && !laterOrder(msg.Config.Order, ownOrder)
	f.setContact(m, m.health, true, agreesOnSet)
	if msg.Round == m.requestRound && msg.Config.Confirmed && msg.Config.Order == ownOrder {
		// The answer was written after the request was sent, so that the
		// confirmation is at least this recent.
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

// appendNewer adds what the version vector entry lacks, oldest first. Changes
// that came here by push can leave gaps, so that the reply completes the
// origin only up to the number that this instance has seen completely.
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
	// A suspicion has no number of its own. It is repeated as long as it lasts,
	// for a member that all pushes of it have missed.
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

// rumors is a queue of changes that are pushed with the next messages. Changes
// that were never pushed go first, so that a burst does not delay them.
type pushQueue[T any] struct {
	unsent []T
	resend []T // pushed at least once, in the order of their next turn
}

// rumorState counts in how many messages a change has been pushed.
type pushState struct {
	queued    bool
	pushCount int
}

// add queues a changed entity. One that waits for its next turn stays there
// and is counted anew.
func (r *pushQueue[T]) add(v T, s *pushState) {
	s.pushCount = 0
	if !s.queued {
		s.queued = true
		r.unsent = append(r.unsent, v)
	}
}

// take calls push for up to count entities and queues them again until they
// have been pushed often enough.
func (r *pushQueue[T]) take(count, pushLimit int, state func(T) *pushState, push func(T)) {
	unsentCount := min(count, len(r.unsent))
	resendCount := min(count-unsentCount, len(r.resend))
	taken := append(slices.Clone(r.unsent[:unsentCount]), r.resend[:resendCount]...)
	r.unsent = slices.Delete(r.unsent, 0, unsentCount)
	r.resend = slices.Delete(r.resend, 0, resendCount)
	for _, v := range taken {
		push(v)
		s := state(v)
		s.pushCount++
		s.queued = s.pushCount < pushLimit
		if s.queued {
			r.resend = append(r.resend, v)
		}
	}
}

func (f *Fleet) queueMemberPush(m *member) { f.memberPushes.add(m, &m.push) }

func (f *Fleet) queueTargetPush(t *target) { f.targetPushes.add(t, &t.push) }

// rumorPushes is the number of messages of one instance that push a change.
// With c more than the logarithm of the fleet, a member misses a change with a
// probability of about exp(-c); the rotating version vector covers that.
func (f *Fleet) pushesPerChange() int { return bits.Len(uint(len(f.listed))) + 3 }

func (f *Fleet) takeMemberPushes(states []model.MemberState) []model.MemberState {
	state := func(m *member) *pushState { return &m.push }
	f.memberPushes.take(maxMemberPushes, f.pushesPerChange(), state, func(m *member) {
		if m.listed && !hasState(states, m.id) {
			states = append(states, f.memberState(m))
		}
	})
	return states
}

func hasState(states []model.MemberState, id model.InstanceID) bool {
	return slices.ContainsFunc(states, func(s model.MemberState) bool { return s.ID == id })
}

// takeTargetRumors leaves out the origins of the request's version vector,
// whose publications the reply has already.
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

// randomPeers returns up to count different alive peers.
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

// announceFanout is the number of peers that hear of a change at once.
func (f *Fleet) announceFanout() int {
	n := len(f.listed)
	if n <= announceAllMax {
		return n
	}
	return max(minReaders, bits.Len(uint(n-1))) + 1
}
