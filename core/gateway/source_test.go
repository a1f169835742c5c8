package gateway

import (
	"fmt"
	"testing"

	"galenadyke.dev/core/model"
)

// Guards against store calls that grow with the fleet: in a large one few
// instances read the store, the others follow one of them.
func TestFewInstancesReadTheStore(t *testing.T) {
	const instances = 40
	direct := 0
	for i := range instances {
		h := newHarness(t, func(c *Config) { c.Self = model.InstanceID(fmt.Sprintf("m%02d", i)); c.Seed = uint64(i) })
		for j := range instances {
			if j != i {
				h.receiveState(otherMember(j))
			}
		}
		h.run(sourceStartDelay + 2*gossipInterval)
		last := h.sources[len(h.sources)-1]
		if (last.From == "") != (last.Watch > 0) {
			t.Errorf("follows %q with a watch of %v", last.From, last.Watch)
		}
		if last.From == "" {
			direct++
		}
	}
	if direct != readerCount(instances) {
		t.Errorf("%d of %d instances read the store, want %d", direct, instances, readerCount(instances))
	}
}

// Guards against changes that cross data centres once for each instance: in a
// data centre without a reader one relay follows a reader, the others follow it.
func TestOneRelayForEachDataCentre(t *testing.T) {
	const instances = 40
	crossing := map[model.PlaceID]int{}
	for i := range instances {
		self := otherMember(i)
		h := newHarness(t, func(c *Config) { c.Self, c.Address, c.Place, c.Seed = self.Name, self.Address, self.Place, uint64(i) })
		place := map[string]model.PlaceID{}
		for j := range instances {
			m := otherMember(j)
			place[m.Address] = m.Place
			if j != i {
				h.receiveState(m)
			}
		}
		h.run(sourceStartDelay + 2*gossipInterval)
		if from := h.sources[len(h.sources)-1].From; from != "" && place[from] != self.Place {
			crossing[self.Place]++
		}
	}
	for p, n := range crossing {
		if n > 1 {
			t.Errorf("%d instances of %s follow one in another data centre, want at most 1", n, p)
		}
	}
}

// Guards against an instance that hangs on a reader that fails, or that the store
// turns away.
func TestReaderThatFailsIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.addMembers(40)
	h.run(sourceStartDelay + 2*gossipInterval)
	first := h.sources[len(h.sources)-1].From
	if first == "" {
		t.Fatal("the test needs an instance that does not read itself")
	}
	h.step(SourceFailed{From: first, Cause: "silent"})
	second := h.sources[len(h.sources)-1].From
	if second == first {
		t.Error("the failed reader is followed on")
	}
	for j := range 40 {
		if m := otherMember(j); m.Address == second {
			m.Beat, m.Reads = 2, false
			h.receiveState(m)
		}
	}
	h.run(2 * gossipInterval)
	if third := h.sources[len(h.sources)-1].From; third == second {
		t.Error("a reader that the store does not answer is followed on")
	}
}

// Guards against an instance that stays behind although others know more: it
// asks one of them when its own way does not bring the change.
func TestInstanceThatIsBehindAsksAnother(t *testing.T) {
	h := newHarness(t)
	h.publish(3, readyTargets("s", 2), plainRoute(true))
	ahead := otherMember(0)
	ahead.Revision, ahead.Configuration = 9, 9
	h.receiveState(ahead)
	if len(h.fetches) != 0 {
		t.Error("asks before its own way had time")
	}
	h.run(sourceBehindAfter + 10*ms)
	ahead.Beat++
	h.receiveState(ahead)
	if len(h.fetches) != 1 || h.fetches[0].From != ahead.Address {
		t.Errorf("fetches %v, want one from %s", h.fetches, ahead.Address)
	}
	h = newHarness(t)
	h.step(StoreFailed{Cause: "refused"})
	h.receiveState(ahead)
	if len(h.fetches) != 1 {
		t.Error("an instance that the store does not answer does not ask at once")
	}
}

// Guards against gathering instances that hear of a configuration after those
// that ask them: the large instances read the store, the small ones follow them.
func TestLargeInstancesReadTheStore(t *testing.T) {
	const instances, large = 40, 4
	capacity := func(j int) float64 {
		if j < large {
			return 0.8
		}
		return 0.19
	}
	addresses := map[string]bool{}
	for j := range large {
		addresses[otherMember(j).Address] = true
	}
	for self := range instances {
		own := otherMember(self)
		h := newHarness(t, func(c *Config) {
			c.Self, c.Address, c.Place, c.Capacity = own.Name, own.Address, own.Place, capacity(self)
		})
		for j := range instances {
			if j != self {
				m := otherMember(j)
				m.Capacity = capacity(j)
				h.receiveState(m)
			}
		}
		h.run(2 * sourceStartDelay)
		if from := h.sources[len(h.sources)-1].From; from == "" && self >= large {
			t.Errorf("%s reads the store itself", own.Name)
		} else if from != "" && !addresses[from] {
			t.Errorf("%s follows %s, want a large instance", own.Name, from)
		}
	}
}

// follower returns an instance that follows another one in a fleet of 40, and the
// address that it follows.
func follower(t *testing.T, change ...func(*Config)) (*harness, string) {
	t.Helper()
	h := newHarness(t, change...)
	h.addMembers(40)
	h.run(sourceStartDelay + 2*gossipInterval)
	from := h.sources[len(h.sources)-1].From
	if from == "" {
		t.Fatal("the test needs an instance that does not read itself")
	}
	return h, from
}

// Guards against instances that wait for a store which turns their source away
// and answers others: they follow one that had an answer since. Members that
// follow the same source may not have heard of its loss.
func TestInstanceFollowsOneThatTheStoreAnswers(t *testing.T) {
	h, from := follower(t)
	h.run(10 * ms)
	h.step(StoreFailed{Cause: "the store does not answer the source"})
	if last := h.sources[len(h.sources)-1]; last.From != from && last.From != "" {
		t.Fatalf("follows %s, of which nothing was heard since the loss", last.From)
	}
	h.run(10 * ms)
	var informed, deaf, unaware MemberState
	for j := range 40 {
		m := otherMember(j)
		m.Beat = 9
		if m.Address == from {
			continue
		}
		if deaf.Name == "" {
			deaf = m
			deaf.Reads = false
		} else if unaware.Name == "" {
			unaware = m
			unaware.StoreAge = 30 * ms
		} else if informed.Name == "" && m.Place == h.g.cfg.Place {
			informed = m
			informed.StoreAge = 5 * ms
		}
	}
	h.receiveState(deaf)
	h.receiveState(unaware)
	if last := h.sources[len(h.sources)-1]; last.From != from && last.From != "" {
		t.Errorf("follows %s, which the store has not answered since", last.From)
	}
	h.receiveState(informed)
	if last := h.sources[len(h.sources)-1]; last.From != informed.Address {
		t.Errorf("follows %q, want %s", last.From, informed.Address)
	}
	h.step(StoreAnswered{})
	h.run(2 * gossipInterval)
	if last := h.sources[len(h.sources)-1]; last.From == from {
		t.Error("goes back at once to the source that the store does not answer")
	}
}

// Guards against a store that is found only by the instances which it turns away,
// and against calls of the whole fleet to a store that is down: the instances try
// it in turn, a few at a time.
func TestInstancesTryALostStoreInTurn(t *testing.T) {
	const instances = 40
	trying := map[int]int{} // instances by interval
	tried := 0
	for i := range instances {
		self := otherMember(i)
		h := newHarness(t, func(c *Config) { c.Self, c.Address, c.Place = self.Name, self.Address, self.Place })
		for j := range instances {
			if j != i {
				h.receiveState(otherMember(j))
			}
		}
		h.run(sourceStartDelay + 2*gossipInterval)
		if h.sources[len(h.sources)-1].From == "" {
			continue // one of those that always try
		}
		h.step(StoreFailed{Cause: "down"})
		direct := false
		turns := (instances + minReaders - 1) / minReaders
		for interval := range turns {
			last := h.sources[len(h.sources)-1]
			if last.From == "" && last.Watch == 0 {
				t.Fatalf("%s neither reads nor follows", self.Name)
			}
			if last.From == "" {
				direct = true
				trying[interval]++
			}
			h.updateMembers(instances, uint64(interval+2), false)
			h.run(storeProbeInterval)
			h.step(StoreFailed{Cause: "down"})
		}
		if direct {
			tried++
		}
	}
	for interval, n := range trying {
		if n > minReaders {
			t.Errorf("interval %d: %d instances try the store, want at most %d", interval, n, minReaders)
		}
	}
	if tried != instances-minReaders {
		t.Errorf("%d instances tried, want %d", tried, instances-minReaders)
	}
}

// Guards against an instance that finds the store and leaves it at once for a
// source that it wrongly believes to be answered.
func TestInstanceThatFindsTheStoreReadsOn(t *testing.T) {
	h, _ := follower(t)
	h.step(StoreFailed{Cause: "down"})
	for beat := range uint64(40) {
		if h.sources[len(h.sources)-1].From == "" {
			break
		}
		h.updateMembers(40, beat+2, false)
		h.run(storeProbeInterval)
		h.step(StoreFailed{Cause: "down"})
	}
	if h.sources[len(h.sources)-1].From != "" {
		t.Fatal("the store is never tried")
	}
	h.step(StoreAnswered{})
	h.run(storeProbeHold - gossipInterval)
	if last := h.sources[len(h.sources)-1]; last.From != "" || last.Watch != maxStoreWatch {
		t.Errorf("follows %q with a watch of %v, want to read the store", last.From, last.Watch)
	}
	h.updateMembers(40, 50, true)
	h.run(2 * gossipInterval)
	if last := h.sources[len(h.sources)-1]; last.From == "" {
		t.Error("goes on reading beside the first in the ranking")
	}
}

// fleetBeats hears n members say whether the store answers them.
func (h *harness) updateMembers(n int, beat uint64, reads bool) {
	for j := range n {
		if m := otherMember(j); m.Name != h.g.cfg.Self {
			m.Beat, m.Reads = beat, reads
			h.receiveState(m)
		}
	}
}

// Guards against an instance that has no source at all when every instance that
// it knows has failed it.
func TestInstanceWhoseSourcesAllFailReadsTheStore(t *testing.T) {
	h, _ := follower(t)
	for range 60 {
		last := h.sources[len(h.sources)-1]
		if last.From == "" {
			if last.Watch == 0 {
				t.Fatal("neither reads nor follows")
			}
			return
		}
		h.step(SourceFailed{From: last.From, Cause: "silent"})
	}
	t.Error("the store is not read")
}

// Guards against instances that find one which the store answers only by the
// chance of their state messages: the readers are asked at once.
func TestReadersAreAskedWhenTheStoreIsLost(t *testing.T) {
	h, _ := follower(t)
	h.states = nil
	h.step(StoreFailed{Cause: "the store does not answer the source"})
	want := map[string]bool{}
	for _, r := range h.g.rankedReaders()[:minReaders] {
		want[r.Address] = true
	}
	for _, s := range h.states {
		if s.State.Ask {
			delete(want, s.To)
		}
	}
	if len(want) > 0 {
		t.Errorf("the readers %v are not asked", want)
	}
	h.states = nil
	h.step(StoreFailed{Cause: "the store does not answer the source"})
	if len(h.states) > 0 {
		t.Errorf("%d messages for each failure", len(h.states))
	}
}
