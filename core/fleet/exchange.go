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
	round      uint64 // last request
	wakeRound  uint64 // requests up to this one were sent before a suspension
	order      []*member
	cursor     int
	lost       []*member // suspected and excluded members
	seenCursor int
	fullSync   int
	lastReply  time.Duration // last answer to an exchange
	lastHeard  time.Duration // last request of another member

	memberRumors rumors[*member]
	targetRumors rumors[*target]
	helping      []helperPing
	sweepCursor  int
}

// origin holds the publications of one member's life, linked by number.
type origin struct {
	first, last *target
	seen        uint64 // all publications up to this number are known
	askedRound  uint64 // last request whose version vector named the origin
	blocked     uint64 // round whose reply had a state that was not kept
}

// linkOrigin moves a target into the publications of the member.
func (f *Fleet) linkOrigin(t *target, m *member) {
	f.unlinkTarget(t)
	t.linked = m
	at := m.origin.last
	for at != nil && at.state.Number > t.state.Number {
		at = at.older
	}
	t.older = at
	if at == nil {
		t.newer, m.origin.first = m.origin.first, t
	} else {
		t.newer, at.newer = at.newer, t
	}
	if t.newer == nil {
		m.origin.last = t
	} else {
		t.newer.older = t
	}
}

func (f *Fleet) unlinkTarget(t *target) {
	m := t.linked
	if m == nil {
		return
	}
	if t.older == nil {
		m.origin.first = t.newer
	} else {
		t.older.newer = t.newer
	}
	if t.newer == nil {
		m.origin.last = t.older
	} else {
		t.newer.older = t.older
	}
	t.older, t.newer, t.linked = nil, nil, nil
}

// unlinkOrigin forgets the publications of a life that is over. The states
// stay until another lead publishes.
func (f *Fleet) unlinkOrigin(m *member) {
	for m.origin.first != nil {
		f.unlinkTarget(m.origin.first)
	}
	m.origin = origin{}
}

func (f *Fleet) startExchange() {
	f.listedAt = f.now
	f.after(peerFirstWait, timer{kind: timerCheck})
	f.after(listLag, timer{kind: timerCheck})
	for _, m := range f.randomPeers(minReaders+1, nil) {
		f.sendLight(m)
	}
	first := time.Duration(f.rng.Int64N(int64(view.ExchangeInterval)))
	f.after(first, timer{kind: timerExchange})
}

// joinOrder puts a new member at a random place of the present round.
func (f *Fleet) joinOrder(m *member) {
	if m == f.self {
		return
	}
	f.order = append(f.order, m)
	last := len(f.order) - 1
	at := f.cursor + f.rng.IntN(last-f.cursor+1)
	f.order[at], f.order[last] = f.order[last], f.order[at]
}

// nextPeer returns the next alive peer of the shuffled order, nil if there is
// none.
func (f *Fleet) nextPeer() *member {
	for range 2 {
		for f.cursor < len(f.order) {
			m := f.order[f.cursor]
			f.cursor++
			if m.listed && m.health == healthAlive {
				return m
			}
		}
		f.order = f.order[:0]
		for _, m := range f.listed {
			if m != f.self {
				f.order = append(f.order, m)
			}
		}
		f.rng.Shuffle(len(f.order), func(i, j int) {
			f.order[i], f.order[j] = f.order[j], f.order[i]
		})
		f.cursor = 0
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
	if m := f.nextLost(); m != nil {
		f.sendLight(m)
	}
	f.sweep()
}

func (f *Fleet) nextLost() *member {
	for len(f.lost) > 0 {
		m := f.lost[0]
		f.lost = f.lost[1:]
		if m.listed && m.health != healthAlive {
			f.lost = append(f.lost, m)
			return m
		}
		m.inLost = false
	}
	return nil
}

// sendExchange sends a request with changes and a part of the version vector.
func (f *Fleet) sendExchange(m *member) {
	msg := f.newRequest(m)
	msg.Seen = f.takeSeen(m)
	msg.Members = f.takeMemberRumors(msg.Members)
	msg.Targets = f.takeTargetRumors(nil, nil)
	f.send(m, msg)
}

// sendLight sends a request that only asks for the peer's state and
// configuration order.
func (f *Fleet) sendLight(m *member) { f.send(m, f.newRequest(m)) }

func (f *Fleet) newRequest(m *member) model.Exchange {
	f.round++
	m.askRound, m.askSent = f.round, f.now
	// While it starts, peers may not know the address of this instance yet,
	// and their silence says nothing about them.
	if m.pingRound == 0 && m.health == healthAlive && f.self.status != model.MemberStarting {
		m.pingRound, m.indirect = f.round, false
		m.pingDue = f.after(view.PingTimeout, timer{kind: timerPing, member: m})
	}
	return model.Exchange{Round: f.round, Config: f.configState(), Members: f.selfAnd(m)}
}

// selfAnd returns the state of this instance and, if the receiver is held for
// dead, the receiver's, so that it can refute.
func (f *Fleet) selfAnd(m *member) []model.MemberState {
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
func (f *Fleet) takeSeen(to *member) []model.SeenUpTo {
	count := len(f.listed)
	if count > seenChunk && f.fullSync == 0 {
		count = seenChunk
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
	m.origin.askedRound = f.round
	s := model.SeenUpTo{Origin: m.id}
	if m.known {
		s.Incarnation, s.Number = m.incarnation, m.origin.seen
	}
	return s
}

func (f *Fleet) handleExchange(m *member, msg *model.Exchange) {
	if msg.Reply && msg.Round <= f.wakeRound {
		// The answer can be as old as the suspension.
		return
	}
	for i := range msg.Members {
		f.mergeMember(&msg.Members[i])
	}
	f.mergeTargets(msg)
	f.noteConfig(m, msg.Config.Order)
	if msg.Reply {
		f.exchangeReply(m, msg)
		return
	}
	f.answerExchange(m, msg)
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
			m.origin.blocked = msg.Round
		}
	}
	if !msg.Reply {
		return
	}
	for i := range msg.Seen {
		s := &msg.Seen[i]
		m := f.byID[s.Origin]
		if m == nil || m == f.self || m.origin.askedRound != msg.Round || m.origin.blocked == msg.Round {
			continue
		}
		if s.Incarnation == m.incarnation {
			m.origin.seen = max(m.origin.seen, s.Number)
		}
	}
}

func (f *Fleet) exchangeReply(m *member, msg *model.Exchange) {
	f.lastReply = f.now
	if m.pingRound != 0 && msg.Round >= m.pingRound {
		m.pingRound = 0
	}
	f.helped(m)
	if f.fullSync > 0 && len(msg.Targets) < maxTargetsReply {
		f.fullSync--
	}
	mine := f.configOrder()
	agrees := m.status != model.MemberStarting && !laterOrder(msg.Config.Order, mine)
	f.setContact(m, m.health, true, agrees)
	if msg.Round == m.askRound && msg.Config.Confirmed && msg.Config.Order == mine {
		// The answer was written after the request was sent, so that the
		// confirmation is at least this recent.
		f.confirm(m.askSent - msg.Config.ConfirmedAge)
	}
}

func (f *Fleet) answerExchange(m *member, msg *model.Exchange) {
	f.lastHeard = f.now
	reply := model.Exchange{Round: msg.Round, Reply: true, Config: f.configState(), Members: f.selfAnd(m)}
	for i := range msg.Seen {
		f.appendNewer(&reply, &msg.Seen[i])
	}
	reply.Members = f.takeMemberRumors(reply.Members)
	reply.Targets = f.takeTargetRumors(reply.Targets, msg.Seen)
	f.send(m, reply)
}

// appendNewer adds what the version vector entry lacks, oldest first. Changes
// that came here by push can leave gaps, so that the reply completes the
// origin only up to the number that this instance has seen completely.
func (f *Fleet) appendNewer(reply *model.Exchange, s *model.SeenUpTo) {
	m := f.byID[s.Origin]
	if m == nil || !m.known || s.Incarnation > m.incarnation {
		return
	}
	number, upTo := s.Number, m.origin.seen
	if m == f.self {
		upTo = f.number
	}
	if s.Incarnation < m.incarnation {
		number = 0
	}
	// A suspicion has no number of its own. It is repeated as long as it lasts,
	// for a member that all pushes of it have missed.
	if m != f.self && (m.heartbeat > number || number == 0 || m.health != healthAlive) {
		reply.Members = append(reply.Members, f.memberState(m))
	}
	at := m.origin.last
	for at != nil && at.older != nil && at.older.state.Number > number {
		at = at.older
	}
	for ; at != nil && at.state.Number > number; at = at.newer {
		if len(reply.Targets) >= maxTargetsReply {
			upTo = min(upTo, at.state.Number-1)
			break
		}
		reply.Targets = append(reply.Targets, at.state)
	}
	if upTo > number {
		reply.Seen = append(reply.Seen, model.SeenUpTo{Origin: m.id, Incarnation: m.incarnation, Number: upTo})
	}
}

// rumors is a queue of changes that are pushed with the next messages. Changes
// that were never pushed go first, so that a burst does not delay them.
type rumors[T any] struct {
	fresh []T
	sent  []T // pushed at least once, in the order of their next turn
}

// rumorState counts in how many messages a change has been pushed.
type rumorState struct {
	queued bool
	pushes int
}

// add queues a changed entity. One that waits for its next turn stays there
// and is counted anew.
func (r *rumors[T]) add(v T, s *rumorState) {
	s.pushes = 0
	if !s.queued {
		s.queued = true
		r.fresh = append(r.fresh, v)
	}
}

// take calls push for up to count entities and queues them again until they
// have been pushed often enough.
func (r *rumors[T]) take(count, pushes int, state func(T) *rumorState, push func(T)) {
	fresh := min(count, len(r.fresh))
	again := min(count-fresh, len(r.sent))
	taken := append(slices.Clone(r.fresh[:fresh]), r.sent[:again]...)
	r.fresh = slices.Delete(r.fresh, 0, fresh)
	r.sent = slices.Delete(r.sent, 0, again)
	for _, v := range taken {
		push(v)
		s := state(v)
		s.pushes++
		s.queued = s.pushes < pushes
		if s.queued {
			r.sent = append(r.sent, v)
		}
	}
}

func (f *Fleet) spreadMember(m *member) { f.memberRumors.add(m, &m.rumor) }

func (f *Fleet) spreadTarget(t *target) { f.targetRumors.add(t, &t.rumor) }

// rumorPushes is the number of messages of one instance that push a change.
// With c more than the logarithm of the fleet, a member misses a change with a
// probability of about exp(-c); the rotating version vector covers that.
func (f *Fleet) rumorPushes() int { return bits.Len(uint(len(f.listed))) + 3 }

func (f *Fleet) takeMemberRumors(states []model.MemberState) []model.MemberState {
	state := func(m *member) *rumorState { return &m.rumor }
	f.memberRumors.take(maxMemberRumors, f.rumorPushes(), state, func(m *member) {
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
func (f *Fleet) takeTargetRumors(states []model.TargetState, asked []model.SeenUpTo) []model.TargetState {
	state := func(t *target) *rumorState { return &t.rumor }
	f.targetRumors.take(maxTargetRumors, f.rumorPushes(), state, func(t *target) {
		if !t.removed && t.linked != nil && !isAsked(asked, t.state.Origin) {
			states = append(states, t.state)
		}
	})
	return states
}

func isAsked(asked []model.SeenUpTo, id model.InstanceID) bool {
	_, ok := slices.BinarySearchFunc(asked, id, func(s model.SeenUpTo, id model.InstanceID) int {
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
	if n <= announceAllBelow {
		return n
	}
	return max(minReaders, bits.Len(uint(n-1))) + 1
}
