package gateway

import (
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// MemberState is what an instance says of itself, passed on by others.
type MemberState struct {
	Name    model.InstanceID
	Address string
	Place   model.PlaceID
	// Life tells the lives of an instance apart; lives have no order.
	Life uint64
	// Beat rises with each message of the instance.
	Beat uint64
	// Configuration is the version in force, Revision the store's revision that
	// the instance knows.
	Configuration uint64
	Revision      uint64
	// Serving is false for an instance that starts or stops.
	Serving bool
	// Reads is set while the store answers the instance or the one that it follows,
	// StoreAge is the age of the last answer.
	Reads    bool
	StoreAge time.Duration
	// Capacity is the instance's processor in cores.
	Capacity float64
}

// StateMessage is one state message: the sender and a part of its table.
type StateMessage struct {
	Sender MemberState
	Others []MemberState
	// Ask is set to get a message in return.
	Ask bool
}

// member is a row of the table of members.
type member struct {
	MemberState
	heardAt time.Duration // when Beat last rose
	// directAt is when the last message of the member itself came, and answeredAt
	// when the store had answered it then.
	directAt, answeredAt time.Duration
	// delegated counts the requests that it gathers for this instance now.
	delegated int
	// avoidUntil is set when it failed to answer one, behindUntil when it refused
	// one for want of the configuration.
	avoidUntil, behindUntil time.Duration
	// aheadSince is when it was first seen with a later state of the store.
	aheadSince time.Duration
}

// alive reports whether the member was heard of lately.
func (g *Gateway) alive(m *member) bool { return g.now-m.heardAt < memberLostAfter }

// members is the table of other instances.
type members struct {
	byName map[model.InstanceID]*member
	round  uint64 // of this instance: the number of its latest round of messages
	// largest is the largest fleet seen, at largestAt.
	largest   int
	largestAt time.Duration
	// capacity is the largest of a member that is alive, in cores.
	capacity  float64
	fetchedAt time.Duration
}

// fleetSize returns the number of instances that shares are computed for: the
// most that were alive in the last fleetMemory.
func (g *Gateway) fleetSize() int {
	return max(g.minFleetSize(), g.members.largest)
}

// leastFleet returns the size of the fleet that is assumed at least. All
// instances may have started together and not know each other yet.
func (g *Gateway) minFleetSize() int {
	if g.now-g.startedAt < sourceStartDelay {
		return minInstancesAtStart
	}
	return minInstances
}

func (g *Gateway) updateFleetSize() {
	alive := 1
	g.members.capacity = 0
	for _, m := range g.members.byName {
		if g.alive(m) {
			alive++
			g.members.capacity = max(g.members.capacity, m.Capacity)
		}
	}
	if alive >= g.members.largest || g.now-g.members.largestAt > fleetPeakWindow {
		g.members.largest, g.members.largestAt = alive, g.now
	}
}

// neverAnswered is the age of the store's last answer if there was none.
const neverAnsweredAge = time.Hour

func (g *Gateway) self() MemberState {
	s := MemberState{Name: g.cfg.Self, Address: g.cfg.Address, Place: g.cfg.Place, Life: g.cfg.Life,
		Beat: g.members.round, Revision: g.store.revision, Serving: g.ready.Ready,
		Reads: !g.store.lost && !g.stop.begun, Capacity: g.cfg.Capacity}
	s.StoreAge = neverAnsweredAge
	if g.store.answeredAt > 0 {
		s.StoreAge = g.now - g.store.answeredAt
	}
	if g.config != nil {
		s.Configuration = g.config.Version
	}
	return s
}

// gossip sends a round of state messages and schedules the next.
func (g *Gateway) gossip() {
	g.members.round++
	g.forgetMembers()
	g.updateFleetSize()
	g.chooseSource()
	for _, address := range g.gossipPeers() {
		g.emit(SendState{To: address, State: g.stateMessage(true)})
	}
	g.after(g.nextRoundDelay(), g.gossip)
}

// nextRound returns the time until the next round of state messages.
func (g *Gateway) nextRoundDelay() time.Duration {
	switch age := g.now - g.startedAt; {
	case age < gathererSearchTime && !g.knowsLargerInstance():
		return gathererSearchInterval
	case age < 2*sourceStartDelay:
		return startGossipInterval
	default:
		return gossipInterval
	}
}

// knowsLarger reports whether this instance knows one that gathers for it.
func (g *Gateway) knowsLargerInstance() bool { return !g.hasGatherCapacity(g.cfg.Capacity) }

// gossipPeers returns the receivers of a round. The first round goes to all seeds,
// so that instances that start together find each other in the next one. Later it
// is one member, most times of the own data centre, as bytes between data centres
// are expensive. Seeds that are not known as members are tried in turn, so that
// fleets that do not know each other merge.
func (g *Gateway) gossipPeers() []string {
	if g.members.round == 1 {
		return slices.DeleteFunc(slices.Clone(g.cfg.Seeds), func(seed string) bool { return seed == g.cfg.Address })
	}
	localOnly := g.rng.Float64() < gossipLocalShare
	var to []string
	for _, name := range g.shuffledMembers() {
		m := g.members.byName[name]
		if len(to) == 0 || (localOnly && m.Place == g.cfg.Place) {
			to = []string{m.Address}
		}
		if !localOnly || m.Place == g.cfg.Place {
			break
		}
	}
	if n := len(g.cfg.Seeds); n > 0 {
		seed := g.cfg.Seeds[g.members.round%uint64(n)]
		if seed != g.cfg.Address && !slices.Contains(to, seed) && !g.knowsAddress(seed) {
			to = append(to, seed)
		}
	}
	return to
}

func (g *Gateway) knowsAddress(address string) bool {
	for _, m := range g.members.byName {
		if m.Address == address {
			return true
		}
	}
	return false
}

func (g *Gateway) stateMessage(ask bool) StateMessage {
	message := StateMessage{Sender: g.self(), Ask: ask}
	gatherers, others := 0, 0
	for _, name := range g.shuffledMembers() {
		m := g.members.byName[name]
		if !g.alive(m) {
			continue
		}
		// Whether a gathering instance lives matters to all, at once.
		count, limit := &others, maxGossipOthers
		if g.hasGatherCapacity(m.Capacity) {
			count, limit = &gatherers, maxGossipGatherers
		}
		if *count < limit {
			*count++
			message.Others = append(message.Others, m.MemberState)
		}
	}
	return message
}

func (g *Gateway) shuffledMembers() []model.InstanceID {
	names := sortedKeys(g.members.byName)
	g.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (g *Gateway) forgetMembers() {
	for _, name := range sortedKeys(g.members.byName) {
		if m := g.members.byName[name]; g.now-m.heardAt > memberForgetAfter {
			delete(g.members.byName, name)
			g.emit(Event{Name: "MemberForgotten", Subject: string(name), Before: "silent", After: "forgotten"})
		}
	}
}

// stateReceived merges a message of another instance.
func (g *Gateway) stateReceived(in StateReceived) {
	sender := in.State.Sender
	if sender.Name == g.cfg.Self {
		return
	}
	g.mergeMember(sender, true)
	m := g.members.byName[sender.Name]
	m.directAt, m.answeredAt = g.now, g.now-sender.StoreAge
	for _, m := range in.State.Others {
		if m.Name != g.cfg.Self {
			g.mergeMember(m, false)
		}
	}
	g.updateFleetSize()
	if in.State.Ask {
		g.emit(SendState{To: sender.Address, State: g.stateMessage(false)})
	}
	g.fetchIfBehind(sender)
	if g.store.lost {
		g.chooseSource()
	}
}

// merge takes over a member's state. Lives have no order, as clocks jump: a
// message from the member itself decides, and what others say of another life counts
// only when the known life is silent. The caller counts the fleet.
func (g *Gateway) mergeMember(s MemberState, direct bool) {
	m := g.members.byName[s.Name]
	switch {
	case m == nil:
		m = &member{}
		g.members.byName[s.Name] = m
		g.emit(Event{Name: "MemberSeen", Subject: string(s.Name), Before: "unknown", After: s.Address})
	case m.Life == s.Life && s.Beat <= m.Beat:
		return
	case m.Life != s.Life && !direct && g.alive(m):
		return
	}
	m.MemberState, m.heardAt = s, g.now
}

// fetchIfBehind asks a member for the store's content if it knows a later one
// and the source of this instance does not bring it.
func (g *Gateway) fetchIfBehind(s MemberState) {
	own, m := g.self(), g.members.byName[s.Name]
	if s.Revision <= own.Revision && s.Configuration <= own.Configuration {
		m.aheadSince = 0
		return
	}
	if m.aheadSince == 0 {
		m.aheadSince = g.now
	}
	due := g.store.lost || !g.store.known || g.now-m.aheadSince > sourceBehindAfter
	if !due || (g.members.fetchedAt > 0 && g.now-g.members.fetchedAt < gossipInterval/2) {
		return
	}
	g.members.fetchedAt = g.now
	g.emit(FetchState{From: s.Address})
}
