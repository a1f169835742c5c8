package gateway

import (
	"fmt"
	"testing"

	"galenadyke.dev/core/model"
)

// Guards against calls to the store that grow with the fleet: in a large fleet few
// instances read the store, and the others follow an instance.
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
			t.Errorf("got source %q with a watch of %v, want a positive watch only for the store itself", last.From, last.Watch)
		}
		if last.From == "" {
			direct++
		}
	}
	if direct != readerCount(instances) {
		t.Errorf("got %d readers of %d instances, want %d", direct, instances, readerCount(instances))
	}
}

// Guards against changes that cross data centres once per instance: in a data centre
// without a reader, one relay follows a reader and the others follow the relay.
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
			t.Errorf("got %d instances in %s that follow an instance in another data centre, want at most 1", n, p)
		}
	}
}

// Guards against an instance that keeps following a reader that has failed or that the
// store refuses.
func TestReaderThatFailsIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.addMembers(40)
	h.run(sourceStartDelay + 2*gossipInterval)
	first := h.sources[len(h.sources)-1].From
	if first == "" {
		t.Fatal("the test needs an instance that does not read the store itself")
	}
	h.step(SourceFailed{From: first, Cause: "silent"})
	second := h.sources[len(h.sources)-1].From
	if second == first {
		t.Error("the failed reader is still followed, want another source")
	}
	for j := range 40 {
		if m := otherMember(j); m.Address == second {
			m.Heartbeat, m.StoreAnswers = 2, false
			h.receiveState(m)
		}
	}
	h.run(2 * gossipInterval)
	if third := h.sources[len(h.sources)-1].From; third == second {
		t.Error("a reader that the store does not answer is still followed, want another source")
	}
}

// Guards against an instance that stays behind although others know a later state: it
// fetches that state if its source does not deliver it in time.
func TestInstanceFetchesStateWhenBehind(t *testing.T) {
	h := newHarness(t)
	h.publish(3, readyTargets("s", 2), plainRoute(true))
	ahead := otherMember(0)
	ahead.Revision, ahead.Configuration = 9, 9
	h.receiveState(ahead)
	if len(h.fetches) != 0 {
		t.Error("got a fetch before sourceBehindAfter, want none")
	}
	h.run(sourceBehindAfter + 10*ms)
	ahead.Heartbeat++
	h.receiveState(ahead)
	if len(h.fetches) != 1 || h.fetches[0].From != ahead.Address {
		t.Errorf("got fetches %v, want one from %s", h.fetches, ahead.Address)
	}
	h = newHarness(t)
	h.step(StoreFailed{Cause: "refused"})
	h.receiveState(ahead)
	if len(h.fetches) != 1 {
		t.Error("the number of fetches of an instance that the store does not answer is not 1, want 1 at once")
	}
}

// Guards against gathering instances that get a configuration later than the instances
// that delegate to them: large instances read the store, small ones follow them.
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
			t.Errorf("%s reads the store itself, want it to follow a large instance", own.Name)
		} else if from != "" && !addresses[from] {
			t.Errorf("%s follows %s, want a large instance", own.Name, from)
		}
	}
}

// follower returns an instance that follows another instance in a fleet of 41, and the
// address of the followed instance.
func follower(t *testing.T, configure ...func(*Config)) (*harness, string) {
	t.Helper()
	h := newHarness(t, configure...)
	h.addMembers(40)
	h.run(sourceStartDelay + 2*gossipInterval)
	from := h.sources[len(h.sources)-1].From
	if from == "" {
		t.Fatal("the test needs an instance that does not read the store itself")
	}
	return h, from
}

// Guards against an instance that waits although the store refuses only its source and
// answers others: it follows an instance that the store has answered since the loss.
// Members that follow the same source may not know of the loss yet.
func TestInstanceFollowsSourceWithLaterStoreAnswer(t *testing.T) {
	h, from := follower(t)
	h.run(10 * ms)
	h.step(StoreFailed{Cause: "the store does not answer the source"})
	if last := h.sources[len(h.sources)-1]; last.From != from && last.From != "" {
		t.Fatalf("follows %s, which has sent no state since the loss; want the present source or the store", last.From)
	}
	h.run(10 * ms)
	// The store does not answer unanswered, answered outdated before the loss, and
	// informed after it.
	var informed, unanswered, outdated MemberState
	for j := range 40 {
		m := otherMember(j)
		m.Heartbeat = 9
		if m.Address == from {
			continue
		}
		if unanswered.Name == "" {
			unanswered = m
			unanswered.StoreAnswers = false
		} else if outdated.Name == "" {
			outdated = m
			outdated.StoreAge = 30 * ms
		} else if informed.Name == "" && m.Place == h.g.cfg.Place {
			informed = m
			informed.StoreAge = 5 * ms
		}
	}
	h.receiveState(unanswered)
	h.receiveState(outdated)
	if last := h.sources[len(h.sources)-1]; last.From != from && last.From != "" {
		t.Errorf("follows %s, which the store has not answered since the loss; want the present source or the store", last.From)
	}
	h.receiveState(informed)
	if last := h.sources[len(h.sources)-1]; last.From != informed.Address {
		t.Errorf("follows %q, want %s", last.From, informed.Address)
	}
	h.step(StoreAnswered{})
	h.run(2 * gossipInterval)
	if last := h.sources[len(h.sources)-1]; last.From == from {
		t.Error("follows the former source again, although the store does not answer it, want another source")
	}
}

// While the store is lost, the readers try it all the time, and the other instances in
// turn, at most minReaders of them in each storeProbeInterval. Guards against attempts
// only from instances that the store refuses, and against calls from the whole fleet to
// a store that is down.
func TestInstancesTryALostStoreInTurn(t *testing.T) {
	const instances = 40
	trying := map[int]int{} // number of instances that try the store, by interval
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
			continue // a reader, which always tries
		}
		h.step(StoreFailed{Cause: "down"})
		hasTried := false
		turns := (instances + minReaders - 1) / minReaders
		for interval := range turns {
			last := h.sources[len(h.sources)-1]
			if last.From == "" && last.Watch == 0 {
				t.Fatalf("%s neither reads the store nor follows an instance, want one of the two", self.Name)
			}
			if last.From == "" {
				hasTried = true
				trying[interval]++
			}
			h.updateMembers(instances, uint64(interval+2), false)
			h.run(storeProbeInterval)
			h.step(StoreFailed{Cause: "down"})
		}
		if hasTried {
			tried++
		}
	}
	for interval, n := range trying {
		if n > minReaders {
			t.Errorf("interval %d: got %d instances that try the store, want at most %d", interval, n, minReaders)
		}
	}
	if tried != instances-minReaders {
		t.Errorf("got %d instances that tried the store, want %d", tried, instances-minReaders)
	}
}

// Guards against an instance that finds the store and then at once follows a source
// that, contrary to its last state, gets no answer from the store.
func TestInstanceThatFindsStoreKeepsReading(t *testing.T) {
	h, _ := follower(t)
	h.step(StoreFailed{Cause: "down"})
	for interval := range uint64(40) {
		if h.sources[len(h.sources)-1].From == "" {
			break
		}
		h.updateMembers(40, interval+2, false)
		h.run(storeProbeInterval)
		h.step(StoreFailed{Cause: "down"})
	}
	if h.sources[len(h.sources)-1].From != "" {
		t.Fatal("the instance never tried the store, want a try within 40 intervals")
	}
	h.step(StoreAnswered{})
	h.run(storeProbeHold - gossipInterval)
	if last := h.sources[len(h.sources)-1]; last.From != "" || last.Watch != maxStoreWatch {
		t.Errorf("got source %q with a watch of %v, want the store with maxStoreWatch", last.From, last.Watch)
	}
	h.updateMembers(40, 50, true)
	h.run(2 * gossipInterval)
	if last := h.sources[len(h.sources)-1]; last.From == "" {
		t.Error("the instance still reads the store although the readers are answered again, want it to follow an instance")
	}
}

// updateMembers passes a state message from each of n members to the gateway, with the
// given heartbeat and whether the store answers the members.
func (h *harness) updateMembers(n int, heartbeat uint64, storeAnswers bool) {
	for j := range n {
		if m := otherMember(j); m.Name != h.g.cfg.Self {
			m.Heartbeat, m.StoreAnswers = heartbeat, storeAnswers
			h.receiveState(m)
		}
	}
}

// Guards against an instance without a source when all instances that it knows have
// failed as sources.
func TestInstanceWhoseSourcesAllFailReadsTheStore(t *testing.T) {
	h, _ := follower(t)
	for range 60 {
		last := h.sources[len(h.sources)-1]
		if last.From == "" {
			if last.Watch == 0 {
				t.Fatal("the instance neither reads the store nor follows an instance, want one of the two")
			}
			return
		}
		h.step(SourceFailed{From: last.From, Cause: "silent"})
	}
	t.Error("the instance did not read the store in spite of 60 failed sources, want it to read the store")
}

// Guards against an instance that learns only from random gossip which instances the
// store answers: it asks the readers at once.
func TestReadersAreAskedWhenTheStoreIsLost(t *testing.T) {
	h, _ := follower(t)
	h.states = nil
	h.step(StoreFailed{Cause: "the store does not answer the source"})
	want := map[string]bool{}
	for _, r := range h.g.rankedReaders()[:minReaders] {
		want[r.Address] = true
	}
	for _, s := range h.states {
		if s.State.WantsReply {
			delete(want, s.To)
		}
	}
	if len(want) > 0 {
		t.Errorf("sent no message with WantsReply to the readers %v, want at least one to each reader", want)
	}
	h.states = nil
	h.step(StoreFailed{Cause: "the store does not answer the source"})
	if len(h.states) > 0 {
		t.Errorf("sent %d messages after a second failure right after the first, want none", len(h.states))
	}
}

// Guards against a restarted instance that goes on with the older state of the member that
// answered it first: it fetches each later state that it hears of at once.
func TestRestartedInstanceFetchesLaterStatesAtOnce(t *testing.T) {
	h := newHarness(t)
	behind, ahead := otherMember(0), otherMember(1)
	behind.Revision, ahead.Revision, ahead.Configuration = 5, 9, 2
	h.receiveState(behind)
	if len(h.fetches) != 1 || h.fetches[0].From != behind.Address {
		t.Fatalf("got fetches %v, want one from the first member", h.fetches)
	}
	h.run(100 * ms)
	h.step(ConfigurationRead{&Configuration{Version: 1, Routes: []Route{plainRoute(true)}}},
		StoreRead{Revision: 5, Complete: true, Relayed: true, Targets: readyTargets("s", 1)})
	h.receiveState(ahead)
	if len(h.fetches) != 2 || h.fetches[1].From != ahead.Address {
		t.Errorf("got fetches %v, want a second one from the member with the later state at once", h.fetches)
	}
}
