package gateway

import (
	"cmp"
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// MemberState is the state that an instance reports about itself. Other instances pass
// it on.
type MemberState struct {
	Name    model.InstanceID
	Address string
	Place   model.PlaceID
	// Incarnation identifies the run of the instance. It is random, so incarnations
	// have no order.
	Incarnation uint64
	// Heartbeat is the instance's heartbeat counter, raised with each round of messages.
	Heartbeat uint64
	// Configuration is the version in force at the instance. Era and Revision are the
	// store's position that the instance knows.
	Configuration uint64
	Era           uint64
	Revision      uint64
	// Serving is false while the instance starts or stops.
	Serving bool
	// StoreAnswers is set while the store answers the instance or its source, until the
	// instance begins to stop. StoreAge is the age of the store's last answer to either.
	StoreAnswers bool
	StoreAge     time.Duration
	// Capacity is the processor capacity of the instance, in cores.
	Capacity float64
}

// StateMessage is a gossip message: the sender's state and some of its members.
type StateMessage struct {
	Sender  MemberState
	Members []MemberState
	// Sample is the sender's sample of the fleet.
	Sample []SampledInstance
	// Crashes are news of requests that were in flight at targets that crashed.
	Crashes []CrashNews
	// Departures are targets that have left.
	Departures []Departure
	// WantsDepartures requests the departures that the receiver knows, in further messages.
	WantsDepartures bool
	// WantsReply requests a state message in return.
	WantsReply bool
}

func (s MemberState) position() StorePosition { return StorePosition{s.Era, s.Revision} }

// member is a row of the table of members.
type member struct {
	MemberState
	heardAt time.Duration // time of the last news, direct or from others
	// directAt is when the last message from the member itself arrived, and answeredAt
	// is when the store last answered the member or its source, according to that
	// message.
	directAt, answeredAt time.Duration
	// delegated counts the requests that the member gathers for this instance now.
	delegated int
	// forwarding counts the batches that the member forwards for this instance now. It
	// last replied to one at repliedAt, and gets none before noForwardUntil.
	forwarding                int
	repliedAt, noForwardUntil time.Duration
	// probedAt is the time of the last probe, silentSince that of the first probe since the
	// last message from the member itself.
	probedAt, silentSince time.Duration
	// No request is delegated to the member before avoidUntil after it failed to
	// gather, nor before behindUntil after it showed an older configuration.
	avoidUntil, behindUntil time.Duration
	// tableSentTo is the incarnation of the member that was sent the table of crashes.
	tableSentTo uint64
	// aheadSince is when the member was first seen with a later state of the store or a
	// later configuration than this instance has; 0 if it is not ahead.
	aheadSince time.Duration
}

// alive reports whether there was news of the member within memberLostAfter.
func (g *Gateway) alive(m *member) bool { return g.now-m.heardAt < memberLostAfter }

// members is the table of other instances.
type members struct {
	byName map[model.InstanceID]*member
	sample fleetSample
	round  uint64 // number of this instance's latest round of state messages
	// peakSize is the largest fleet size of the last fleetPeakWindow, counted or estimated
	// at peakAt.
	peakSize int
	peakAt   time.Duration
	// maxCapacity is the largest capacity of a member that is alive, in cores.
	// fetchedAt is when the last FetchState was emitted.
	maxCapacity float64
	fetchedAt   time.Duration
	// laterEra is the latest era of the store that a member was in while this instance was
	// not, since laterEraSince.
	laterEra      uint64
	laterEraSince time.Duration
}

// fleetSize returns the number of instances for which shares are computed: the
// largest number alive in the last fleetPeakWindow.
func (g *Gateway) fleetSize() int {
	return max(g.minFleetSize(), g.members.peakSize)
}

// minFleetSize returns the minimum fleet size to assume. Right after the start it is
// higher, as all instances may have started together and not know each other yet.
func (g *Gateway) minFleetSize() int {
	if g.now-g.startedAt < sourceStartDelay {
		return minInstancesAtStart
	}
	return minInstances
}

// updateFleetSize updates the largest fleet size and the largest capacity. The size is
// estimated if there is no recent news of a sampled instance, and so of others.
func (g *Gateway) updateFleetSize() {
	alive := 1
	unknown := len(g.members.sample) - g.members.sample.count(sampleHash(g.cfg.Self))
	g.members.maxCapacity = 0
	for name, m := range g.members.byName {
		if g.alive(m) {
			alive++
			unknown -= g.members.sample.count(sampleHash(name))
			g.members.maxCapacity = max(g.members.maxCapacity, m.Capacity)
		}
	}
	if unknown > 0 {
		alive = max(alive, g.members.sample.fleetSize())
	}
	if alive >= g.members.peakSize || g.now-g.members.peakAt > fleetPeakWindow {
		g.members.peakSize, g.members.peakAt = alive, g.now
	}
}

// neverAnsweredAge is reported as the age of the store's last answer if there was
// none.
const neverAnsweredAge = time.Hour

// self returns the state that this instance reports.
func (g *Gateway) self() MemberState {
	s := MemberState{Name: g.cfg.Self, Address: g.cfg.Address, Place: g.cfg.Place, Incarnation: g.cfg.Incarnation,
		Heartbeat: g.members.round, Era: g.store.position.Era, Revision: g.store.position.Revision, Serving: g.ready.Ready,
		StoreAnswers: !g.store.lost && !g.stop.begun, Capacity: g.cfg.Capacity}
	s.StoreAge = neverAnsweredAge
	if g.store.answeredAt > 0 {
		s.StoreAge = g.now - g.store.answeredAt
	}
	s.Configuration = g.configurationVersion()
	return s
}

// gossip sends a round of state messages and schedules the next.
func (g *Gateway) gossip() {
	g.members.round++
	g.forgetMembers()
	g.forgetDepartures()
	g.expireCrashes()
	g.updateFleetSize()
	g.chooseSource()
	for _, address := range g.gossipPeers() {
		g.emit(SendState{To: address, State: g.stateMessage(true)})
	}
	g.departureQueries = max(0, g.departureQueries-1)
	g.after(g.nextRoundDelay(), g.gossip)
}

// nextRoundDelay returns the time until the next round of state messages.
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

// knowsLargerInstance reports whether a known instance has so much more capacity that
// this instance does not gather for other instances.
func (g *Gateway) knowsLargerInstance() bool { return !g.hasGatherCapacity(g.cfg.Capacity) }

// gossipPeers returns the addresses to which a round of state messages is sent. The
// first round goes to all seeds, so that instances that start together find each
// other in the next round. Each later round goes to one random member, mostly in the
// own data centre, as bytes between data centres are expensive. Seeds that are not
// known as members are also tried in turn, so that fleets that do not know each other
// merge.
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

// stateMessage returns a message with the state of this instance and of a bounded
// random choice of the members that are alive.
func (g *Gateway) stateMessage(wantsReply bool) StateMessage {
	message := StateMessage{Sender: g.self(), Sample: g.refreshedSample(), WantsDepartures: g.departureQueries > 0, WantsReply: wantsReply}
	crashes, crashBytes := g.regularCrashNews()
	message.Crashes = crashes
	maxGatherers := maxGossipGatherers - (crashBytes+memberBytes-1)/memberBytes
	gatherers, others := 0, 0
	for _, name := range g.shuffledMembers() {
		m := g.members.byName[name]
		if !g.alive(m) {
			continue
		}
		// All instances need early news of gathering instances, so these have a larger
		// quota.
		count, limit := &others, maxGossipOthers
		if g.hasGatherCapacity(m.Capacity) {
			count, limit = &gatherers, maxGatherers
		}
		if *count < limit {
			*count++
			message.Members = append(message.Members, m.MemberState)
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

// stateReceived handles a state message from another instance.
func (g *Gateway) stateReceived(in StateReceived) {
	sender := in.State.Sender
	if sender.Name == g.cfg.Self {
		return
	}
	g.mergeMember(sender, true)
	m := g.members.byName[sender.Name]
	if m == nil {
		return // there are too many members
	}
	m.directAt, m.answeredAt = g.now, g.now-sender.StoreAge
	g.receiveSample(sender.Name, in.State.Sample)
	g.receiveCrashNews(in.State.Crashes)
	g.receiveDepartures(in.State.Departures)
	if in.State.WantsDepartures {
		g.sendDepartures(sender.Address)
	}
	if m.tableSentTo != sender.Incarnation && sender.Heartbeat <= crashTableRounds {
		m.tableSentTo = sender.Incarnation
		g.sendCrashTable(sender.Address)
	}
	for _, m := range in.State.Members {
		if m.Name != g.cfg.Self {
			g.mergeMember(m, false)
		}
	}
	g.updateFleetSize()
	if in.State.WantsReply {
		g.emit(SendState{To: sender.Address, State: g.stateMessage(false)})
	}
	g.fetchIfBehind(sender)
	if g.store.lost {
		g.chooseSource()
	}
}

// mergeMember updates a member with newer state. direct is true if the state comes from
// the member itself. Of the same incarnation, the state with the higher heartbeat is
// newer. Incarnations have no order, as clocks jump: a message from the member itself
// replaces the known incarnation at once, and news of another incarnation from others
// counts only if the known incarnation is no longer alive. The caller calls
// updateFleetSize.
func (g *Gateway) mergeMember(s MemberState, direct bool) {
	m := g.members.byName[s.Name]
	switch {
	case m == nil && !g.makeMemberRoom(direct):
		return
	case m == nil:
		m = &member{}
		g.members.byName[s.Name] = m
		g.emit(Event{Name: "MemberSeen", Subject: string(s.Name), Before: "unknown", After: s.Address})
	case m.Incarnation == s.Incarnation && s.Heartbeat <= m.Heartbeat:
		return
	case m.Incarnation != s.Incarnation && !direct && g.alive(m):
		return
	}
	m.MemberState, m.heardAt = s, g.now
}

// makeMemberRoom reports whether another member may be added. If there are too many, it removes
// one that is no longer alive or, in favour of a member that has sent a message itself, one that
// has not: anybody can state members that do not exist.
func (g *Gateway) makeMemberRoom(direct bool) bool {
	if len(g.members.byName) < maxMembers {
		return true
	}
	var oldest *member
	for _, m := range g.members.byName {
		if m.directAt == g.now {
			continue // its message is being handled
		}
		removable := !g.alive(m) || direct && m.directAt == 0
		if removable && (oldest == nil || cmp.Or(cmp.Compare(m.heardAt, oldest.heardAt), cmp.Compare(m.Name, oldest.Name)) < 0) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	delete(g.members.byName, oldest.Name)
	g.emit(Event{Name: "MemberForgotten", Subject: string(oldest.Name), Before: "known", After: "replaced, there are too many members"})
	return true
}

// mayFetchEra reports whether everything may be fetched from a member in a later era of the
// store. All instances need everything then and mostly get it from their source, so a member
// in another data centre is asked only if that takes twice sourceBehindAfter.
func (g *Gateway) mayFetchEra(m *member) bool {
	if m.Era > g.members.laterEra {
		g.members.laterEra, g.members.laterEraSince = m.Era, g.now
	}
	return m.Place == g.cfg.Place || g.now-g.members.laterEraSince > 2*sourceBehindAfter
}

// fetchIfBehind fetches the store's content from a member that knows a later state if
// this instance's source has not delivered that state within sourceBehindAfter, or at
// once while the store is lost or not known yet. It also does so at once shortly after the
// start if it has its state from another member, as that member may itself be behind. It
// fetches at most once per half gossipInterval, and more often shortly after the start.
func (g *Gateway) fetchIfBehind(s MemberState) {
	own, m := g.self(), g.members.byName[s.Name]
	behind := own.position().Before(s.position())
	if !behind && s.Configuration <= own.Configuration {
		m.aheadSince = 0
		return
	}
	if m.aheadSince == 0 {
		m.aheadSince = g.now
	}
	if own.position().BeforeEra(s.position()) && !g.mayFetchEra(m) {
		return
	}
	starting := g.store.relayed && g.now-g.startedAt < sourceStartDelay
	interval := gossipInterval / 2
	if starting {
		interval = gathererSearchInterval
	}
	due := g.store.lost || !g.store.known || starting || g.now-m.aheadSince > sourceBehindAfter
	if !due || (g.members.fetchedAt > 0 && g.now-g.members.fetchedAt < interval) {
		return
	}
	g.members.fetchedAt = g.now
	g.emit(FetchState{From: s.Address, Complete: !behind})
}
