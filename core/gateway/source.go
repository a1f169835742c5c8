package gateway

import (
	"cmp"
	"slices"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/rank"
)

// Each call to the store is priced, so in a large fleet a few instances read it
// and pass its changes on to the others. The readers are the first in a ranking
// that all instances compute from the members they know, large instances first; an
// instance whose reader fails takes the next one, and reads the store itself when
// it ranks among the readers or knows none. Between a reader and the instances of
// another data centre stands one relay there, so that a change crosses once.
//
// A store that turns some instances away may answer others. While the source of an
// instance gets no answer, it follows one that had an answer since, and the
// instances try the store themselves in turn.

// source is where the store's changes come from.
type source struct {
	chosen bool
	from   string        // address of the instance, empty for the store itself
	watch  time.Duration // longest watch of the store, 0 if from is set
	// askedAt is when the first instances of the ranking were last asked whether
	// the store answers them.
	askedAt time.Duration
	// failed are the instances that sent nothing, or that the store does not
	// answer, and the times until which they are passed over.
	avoidUntil map[model.InstanceID]time.Duration
}

// storeKey is the key of the ranking of readers.
var storeKey = rank.Hash("store")

// readerCount returns the number of instances that read the store.
func readerCount(fleet int) int { return max(minReaders, fleet/membersPerReader) }

// chooseSource decides where changes come from, and tells the driver if that
// has changed.
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
		// The first of all members go on trying when the store does not answer
		// them, so that its return is noticed.
		return direct
	case g.store.lost:
		return g.sourceWhileLost(ranked, readers, ownRank)
	case g.recentlyFoundStore():
		return direct
	}
	candidates := slices.DeleteFunc(slices.Clone(ranked), func(s MemberState) bool { return !s.Reads || g.isAvoided(s.Name) })
	activeReaders := candidates[:min(readers, len(candidates))]
	if slices.ContainsFunc(activeReaders, func(s MemberState) bool { return s.Name == g.cfg.Self }) {
		return direct
	}
	if from := g.followedInstance(candidates, activeReaders); from != "" {
		return FollowStore{From: from}
	}
	return direct
}

// readsForOthers reports whether this instance has found the store answering it
// when it answered few, and the others may not have heard of it.
func (g *Gateway) recentlyFoundStore() bool {
	return g.source.chosen && g.source.from == "" && g.store.returnedWithin(g.now, storeProbeHold)
}

// sourceWhileLost returns where the store's changes may come from while the
// source of this instance gets no answer from the store. own is the place of
// this instance in the ranking.
func (g *Gateway) sourceWhileLost(ranked []MemberState, readers, ownRank int) FollowStore {
	if from := g.instanceWithLaterAnswer(); from != "" {
		return FollowStore{From: from}
	}
	g.askReaders(ranked[:min(2*readers, len(ranked))])
	turns := (len(ranked) + readers - 1) / readers
	if ownRank/readers == int((g.now-g.store.lostAt)/storeProbeInterval+1)%turns {
		return FollowStore{Watch: maxStoreProbeWatch}
	}
	if g.source.from != "" {
		return FollowStore{From: g.source.from}
	}
	return FollowStore{From: g.assignedReader(ranked[:readers])}
}

// askReaders asks instances whether the store answers them.
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

// informedInstance returns the address of an instance that had an answer of the
// store after this one lost it; one of the own data centre if there is one.
// Members that follow the same reader hear of its loss at other times.
func (g *Gateway) instanceWithLaterAnswer() string {
	var best *member
	for _, name := range sortedKeys(g.members.byName) {
		m := g.members.byName[name]
		if !m.Reads || m.answeredAt <= g.store.lostAt || g.isAvoided(name) || !g.alive(m) {
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

// followedInstance returns the instance to follow: a reader or the relay of the
// own data centre, or a reader anywhere if this instance is the relay.
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

// nearestReader spreads the instances over the readers.
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

// aliveMembers returns the members that are alive, this instance first.
func (g *Gateway) aliveMembers() []MemberState {
	list := []MemberState{g.self()}
	for _, name := range sortedKeys(g.members.byName) {
		if m := g.members.byName[name]; g.alive(m) {
			list = append(list, m.MemberState)
		}
	}
	return list
}

// rankedReaders returns the members that are alive, this instance included, in the
// order in which they read the store. Those that gather come first: they can carry
// the followers, and a request must not be passed on to an instance that hears of
// a configuration later than the one that asks.
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

// passOverSource lets other instances be followed for a while.
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

// sourceFailed handles a source that sends nothing.
func (g *Gateway) sourceFailed(in SourceFailed) {
	if in.From != g.source.from {
		return
	}
	g.avoidSource()
	g.emit(Event{Name: "ReaderFailed", Subject: in.From, Before: "sends changes", After: in.Cause, Warning: true})
	g.chooseSource()
}
