package gateway

import (
	"cmp"
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/rank"
)

// Each call to the store is priced, so in a large fleet a few instances (the readers)
// read the store and pass its changes on to the others. The readers are the first
// instances in a ranking that all instances compute from the members they know, large
// instances first. An instance whose reader fails follows the next one. It reads the store
// itself if it ranks among the readers or knows no reader. In a data centre without a
// reader, one instance is the relay that follows a reader elsewhere and that the
// others follow, so that each change crosses between data centres once.
//
// A store that refuses some instances may answer others. While an instance's source
// gets no answer from the store, the instance follows another instance that the store
// has answered since. If there is none, the instances try the store themselves in turn.

// source is the present source of the store's changes.
type source struct {
	chosen bool
	from   string        // address of the followed instance, empty for the store itself
	watch  time.Duration // maximum duration of a watch, 0 if from is set
	// askedAt is when askReaders last sent messages.
	askedAt time.Duration
	// avoidUntil holds, for instances that sent nothing or that got no answer from the
	// store, the times until which they are not followed.
	avoidUntil map[model.InstanceID]time.Duration
}

// storeKey is the key of the ranking of readers.
var storeKey = rank.Hash("store")

// readerCount returns the number of instances that read the store.
func readerCount(fleet int) int { return max(minReaders, fleet/membersPerReader) }

// chooseSource selects the source of the store's changes, and emits a FollowStore if
// the source or its watch has changed.
func (g *Gateway) chooseSource() {
	if !g.source.chosen && g.now-g.startedAt < sourceStartDelay {
		return
	}
	out := g.wantedSource()
	if g.source.chosen && out.From == g.source.from && out.Watch == g.source.watch {
		return
	}
	before := g.source.from
	changed := !g.source.chosen || before != out.From
	g.source.chosen, g.source.from, g.source.watch = true, out.From, out.Watch
	g.emit(out)
	if changed {
		g.emit(Event{Name: "StoreSource", Subject: string(g.cfg.Self), Before: before, After: out.From})
	}
}

// wantedSource returns the source that this instance should have now.
func (g *Gateway) wantedSource() FollowStore {
	direct := FollowStore{Watch: maxStoreWatch}
	if g.fleetSize() <= maxAllReadersFleet {
		return direct
	}
	ranked := g.rankedReaders()
	readers := min(readerCount(len(ranked)), len(ranked))
	ownRank := slices.IndexFunc(ranked, func(s MemberState) bool { return s.Name == g.cfg.Self })
	switch {
	case ownRank < readers:
		// The first instances of the ranking keep trying a store that does not answer
		// them, so that they notice its return.
		return direct
	case g.store.lost:
		return g.sourceWhileLost(ranked, readers, ownRank)
	case g.recentlyFoundStore():
		return direct
	}
	candidates := slices.DeleteFunc(slices.Clone(ranked), func(s MemberState) bool { return !s.StoreAnswers || g.isAvoided(s.Name) })
	activeReaders := candidates[:min(readers, len(candidates))]
	if slices.ContainsFunc(activeReaders, func(s MemberState) bool { return s.Name == g.cfg.Self }) {
		return direct
	}
	if from := g.followedInstance(candidates, activeReaders); from != "" {
		return FollowStore{From: from}
	}
	return direct
}

// recentlyFoundStore reports whether this instance reads the store and the store began
// to answer it within storeProbeHold. The others may not have heard of it yet.
func (g *Gateway) recentlyFoundStore() bool {
	return g.source.chosen && g.source.from == "" && g.store.returnedWithin(g.now, storeProbeHold)
}

// sourceWhileLost returns the source to use while the present source gets no answer
// from the store. readers is the number of readers, and ownRank the index of this
// instance in ranked.
func (g *Gateway) sourceWhileLost(ranked []MemberState, readers, ownRank int) FollowStore {
	if from := g.instanceWithLaterAnswer(); from != "" {
		return FollowStore{From: from}
	}
	g.askReaders(ranked[:min(2*readers, len(ranked))])
	// The instances of one turn try the store for a storeProbeInterval. The readers are
	// turn 0 and try it all the time, so turn 1 is the first.
	turns := (len(ranked) + readers - 1) / readers
	if ownRank/readers == int((g.now-g.store.lostAt)/storeProbeInterval+1)%turns {
		return FollowStore{Watch: maxStoreProbeWatch}
	}
	if g.source.from != "" {
		return FollowStore{From: g.source.from}
	}
	return FollowStore{From: g.assignedReader(ranked[:readers])}
}

// askReaders asks instances for state messages, which state whether the store answers
// them, at most once per half gossipInterval.
func (g *Gateway) askReaders(readers []MemberState) {
	if g.source.askedAt > 0 && g.now-g.source.askedAt < gossipInterval/2 {
		return
	}
	g.source.askedAt = g.now
	for _, r := range readers {
		if r.Name != g.cfg.Self {
			g.emit(SendState{To: r.Address, State: g.stateMessage(true)})
		}
	}
}

// instanceWithLaterAnswer returns the address of an instance, preferably in the own
// data centre, that had an answer from the store after this instance lost it, or "".
// StoreAnswers alone does not show this, as members that follow the same reader learn
// of the loss at different times.
func (g *Gateway) instanceWithLaterAnswer() string {
	var best *member
	for _, name := range sortedKeys(g.members.byName) {
		m := g.members.byName[name]
		if !m.StoreAnswers || m.answeredAt <= g.store.lostAt || g.isAvoided(name) || !g.alive(m) {
			continue
		}
		if best == nil || (m.Place == g.cfg.Place && best.Place != g.cfg.Place) {
			best = m
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}

// followedInstance returns the address of the instance to follow: a reader or the
// relay in the own data centre, or a reader elsewhere if this instance is the relay.
func (g *Gateway) followedInstance(candidates, readers []MemberState) string {
	isLocal := func(s MemberState) bool { return s.Place == g.cfg.Place }
	if i := slices.IndexFunc(readers, isLocal); i >= 0 {
		return readers[i].Address
	}
	if i := slices.IndexFunc(candidates, isLocal); i >= 0 && candidates[i].Name != g.cfg.Self {
		return candidates[i].Address
	}
	return g.assignedReader(readers)
}

func (g *Gateway) isAvoided(name model.InstanceID) bool { return g.now < g.source.avoidUntil[name] }

// assignedReader returns the address of one of the readers, chosen by rendezvous
// hashing of this instance's name, which spreads the instances over the readers.
func (g *Gateway) assignedReader(readers []MemberState) string {
	own := rank.Hash(string(g.cfg.Self))
	best, bestScore := "", uint64(0)
	for _, r := range readers {
		if score := rank.Score(rank.Hash(string(r.Name)), own); best == "" || score > bestScore {
			best, bestScore = r.Address, score
		}
	}
	return best
}

// aliveMembers returns this instance and then the members that are alive.
func (g *Gateway) aliveMembers() []MemberState {
	list := []MemberState{g.self()}
	for _, name := range sortedKeys(g.members.byName) {
		if m := g.members.byName[name]; g.alive(m) {
			list = append(list, m.MemberState)
		}
	}
	return list
}

// rankedReaders returns this instance and the members that are alive in the order in
// which they are preferred as readers. Instances with the capacity to gather come
// first: they can serve the followers, and a request must not be delegated to an
// instance that gets a configuration later than the delegating one.
func (g *Gateway) rankedReaders() []MemberState {
	list := g.aliveMembers()
	slices.SortStableFunc(list, func(a, b MemberState) int {
		if gathers := g.hasGatherCapacity(a.Capacity); gathers != g.hasGatherCapacity(b.Capacity) {
			if gathers {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank.Score(storeKey, rank.Hash(string(b.Name))), rank.Score(storeKey, rank.Hash(string(a.Name))))
	})
	return list
}

// avoidSource excludes the followed instance as a source for sourceRetryAfter.
func (g *Gateway) avoidSource() {
	for _, name := range sortedKeys(g.members.byName) {
		if g.members.byName[name].Address == g.source.from {
			if g.source.avoidUntil == nil {
				g.source.avoidUntil = make(map[model.InstanceID]time.Duration)
			}
			g.source.avoidUntil[name] = g.now + sourceRetryAfter
		}
	}
}

// sourceFailed handles a followed instance that no longer sends changes.
func (g *Gateway) sourceFailed(in SourceFailed) {
	if in.From != g.source.from {
		return
	}
	g.avoidSource()
	g.emit(Event{Name: "ReaderFailed", Subject: in.From, Before: "sends changes", After: in.Cause, Warning: true})
	g.chooseSource()
}
