package gateway

import (
	"testing"
	"time"
)

// far makes an instance without targets of the shards in its data centre.
func inPlaceWithoutTargets(c *Config) { c.Place = "apapa" }

// gathered is the success of an instance that gathered.
func gatheredAnswer(a AttemptID) AttemptEnded {
	return AttemptEnded{Attempt: a, Outcome: OutcomeSuccess, Configuration: 1, Gathered: Gathered{Stamps: []string{"x", "y"}, Missing: 2, Records: record(9)}}
}

// farWorld returns an instance far from the shards that knows n others near them.
func newHarnessFarFromShards(t *testing.T, n int) *harness {
	h := newHarness(t, inPlaceWithoutTargets)
	for j := range n {
		m := otherMember(j)
		m.Configuration = 1
		h.receiveState(m)
	}
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	return h
}

// Guards against a message to each shard across data centres: an instance far
// from them asks one that is near, and passes its answer on.
func TestQueryIsGatheredNearItsShards(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	id := h.request("/g/x", time.Second)
	if len(h.delegated) != 1 || len(h.sent) != 0 {
		t.Fatalf("%d delegated, %d sent; want one delegated", len(h.delegated), len(h.sent))
	}
	h.step(gatheredAnswer(h.delegated[0].Attempt))
	if a := h.answers[id]; a.Kind != AnswerGathered || a.Missing != 2 || len(a.Stamps) != 2 || len(a.Records) != RecordSize {
		t.Errorf("got %+v, want the answer of the other instance", a)
	}

	near := newHarness(t)
	near.addMembers(2)
	near.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	near.request("/g/x", time.Second)
	if len(near.delegated) != 0 || len(near.sent) != 8 {
		t.Error("an instance near the shards does not gather itself")
	}
}

// Guards against small instances that gather beside large ones.
func TestSmallInstanceLeavesGatheringToALargeOne(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Capacity = 0.19 })
	large := otherMember(0)
	large.Capacity, large.Configuration = 0.8, 1
	small := otherMember(2)
	small.Capacity, small.Configuration = 0.19, 1
	h.receiveState(large)
	h.receiveState(small)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	for range 5 {
		h.request("/g/x", time.Second)
	}
	for _, d := range h.delegated {
		if d.To != large.Address {
			t.Errorf("asked %s, want the large instance", d.To)
		}
	}
	if len(h.delegated) != 5 {
		t.Errorf("%d delegated, want 5", len(h.delegated))
	}
}

// Guards against requests that go down with the instance that was asked: one
// that refuses has sent nothing, so another is asked, and in the end the
// instance gathers itself.
func TestRefusedDelegationIsRepeated(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	h.request("/g/x", time.Second)
	h.step(AttemptEnded{Attempt: h.delegated[0].Attempt, Outcome: OutcomeShed, Cause: "stops"})
	if len(h.delegated) != 2 || h.delegated[1].To == h.delegated[0].To {
		t.Fatalf("%d delegated, want a second one to another instance", len(h.delegated))
	}
	h.step(AttemptEnded{Attempt: h.delegated[1].Attempt, Outcome: OutcomeNotSent, Cause: "refused"})
	if len(h.sent) != 8 {
		t.Errorf("%d parts sent by the instance itself, want 8", len(h.sent))
	}
}

// Guards against more attempts for a shard than the route allows: an instance
// that failed after it was asked may have made them, so no other is asked.
func TestBrokenDelegationIsNotRepeated(t *testing.T) {
	for _, o := range []Outcome{OutcomeBroken, OutcomeTimedOut, OutcomeFailure} {
		h := newHarnessFarFromShards(t, 2)
		id := h.request("/g/x", time.Second)
		h.step(AttemptEnded{Attempt: h.delegated[0].Attempt, Outcome: o, Cause: "broken"})
		h.run(time.Second)
		if len(h.delegated) != 1 || len(h.sent) != 0 {
			t.Errorf("%v: %d delegated, %d sent; want no second attempt", o, len(h.delegated), len(h.sent))
		}
		if a := h.answers[id]; a.Kind != AnswerFailed {
			t.Errorf("%v: answered %v, want failed", o, a.Kind)
		}
	}
}

// Guards against callers that wait for an instance that has died silently: it is
// asked whether it lives, its requests are given up while their callers can ask
// again, and it gets no new ones.
func TestSilentGathererIsGivenUp(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	start := h.now
	id := h.request("/g/x", time.Second)
	asked := h.delegated[0].To
	h.run(200 * ms)
	if a, ok := h.answers[id]; !ok || a.Kind != AnswerFailed {
		t.Fatalf("answered %v, want failed", a.Kind)
	}
	if took := h.answeredAt[id] - start; took > 150*ms {
		t.Errorf("given up after %v, want about half the objective and two probes", took)
	}
	for range 10 {
		h.request("/g/x", time.Second)
	}
	for _, d := range h.delegated[1:] {
		if d.To == asked {
			t.Error("the silent instance is asked again")
		}
	}
}

// Guards against giving up an instance that is late but alive.
func TestLateGathererThatLivesIsWaitedFor(t *testing.T) {
	h := newHarnessFarFromShards(t, 1)
	id := h.request("/g/x", time.Second)
	h.run(60 * ms)
	m := otherMember(0)
	m.Beat, m.Configuration = 2, 1
	h.receiveState(m)
	h.run(200 * ms)
	if a, ok := h.answers[id]; ok {
		t.Fatalf("answered %v (%s) while the other instance lives", a.Kind, a.Reason)
	}
	h.step(gatheredAnswer(h.delegated[0].Attempt))
	if a := h.answers[id]; a.Kind != AnswerGathered {
		t.Errorf("answered %v, want the late answer", a.Kind)
	}
}

// Guards against a fleet whose small instances gather themselves for seconds
// after each configuration, because they have not yet heard which others have it
// in force.
func TestGatheringIsDelegatedWhileAConfigurationSpreads(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	h.publish(2, shardTargets(8), gatherRoute(8, 0.5))
	h.request("/g/x", time.Second)
	if len(h.delegated) != 1 || len(h.sent) != 0 {
		t.Errorf("%d delegated, %d sent; want one delegated", len(h.delegated), len(h.sent))
	}
}

// Guards against an instance that lags behind with the configuration and is asked
// again and again: one that says so is passed over for a while, or until it is
// heard to have caught up, and is asked after the others.
func TestInstanceThatIsBehindIsPassedOver(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	h.publish(2, shardTargets(8), gatherRoute(8, 0.5))
	h.request("/g/x", time.Second)
	behind := h.delegated[0]
	h.step(AttemptEnded{Attempt: behind.Attempt, Outcome: OutcomeShed, Configuration: 1, Cause: "older configuration"})
	for range 20 {
		h.request("/g/x", time.Second)
	}
	for _, d := range h.delegated[1:] {
		if d.To == behind.To {
			t.Fatal("the instance that is behind is asked at once")
		}
	}
	h.run(behindRetryDelay)
	asked := len(h.delegated)
	for range 40 {
		h.request("/g/x", time.Second)
	}
	count := map[string]int{}
	for _, d := range h.delegated[asked:] {
		count[d.To]++
	}
	if count[behind.To] == 0 {
		t.Error("the instance is not asked again")
	}
}

// Guards against an instance that is known to have the configuration in force and
// waits behind one that may not have it.
func TestInstancesWithTheConfigurationAreAskedFirst(t *testing.T) {
	h := newHarness(t, inPlaceWithoutTargets)
	for j := range 2 {
		m := otherMember(j)
		m.Configuration = uint64(j)
		h.receiveState(m)
	}
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.request("/g/x", time.Second)
	if len(h.delegated) != 1 || h.delegated[0].To != otherMember(1).Address {
		t.Errorf("asked %+v, want the instance with the configuration", h.delegated)
	}
}

// Guards against an answer by an older configuration than the caller's instance
// has: one that is behind refuses and sends nothing.
func TestInstanceWithAnOlderConfigurationDoesNotGather(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.step(Arrived{Request: 50, Host: "h.example", Path: "/g/x", At: h.now, Remaining: time.Second,
		Delegated: &Delegation{Objective: 90 * ms, Deadline: 900 * ms, Configuration: 2}})
	if a := h.answers[50]; a.Kind != AnswerRefused || len(h.sent) != 0 {
		t.Errorf("answered %v after %d sends, want a refusal", a.Kind, len(h.sent))
	}
}

// Guards against requests of others that a graceful stop cuts off: an instance
// that stops refuses them, so that they are gathered elsewhere.
func TestStoppingInstanceDoesNotGatherForOthers(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.step(Stop{})
	h.step(Arrived{Request: 50, Host: "h.example", Path: "/g/x", At: h.now, Remaining: time.Second,
		Delegated: &Delegation{Objective: 90 * ms, Deadline: 900 * ms, Configuration: 1}})
	if a := h.answers[50]; a.Kind != AnswerRefused || len(h.sent) != 0 {
		t.Errorf("answered %v after %d sends, want a refusal", a.Kind, len(h.sent))
	}
	id := h.request("/g/x", time.Second)
	if len(h.sentTo(id)) != 8 {
		t.Error("its own callers are not served during the stop")
	}
}

// Guards against shares of connections and budget for the whole fleet where few
// instances gather.
func TestSharesOfShardsAreThoseOfGatherers(t *testing.T) {
	h := newHarness(t)
	for j := range 30 {
		m := otherMember(j)
		if j >= 5 {
			m.Capacity = 0.1
		}
		h.receiveState(m)
	}
	h.publish(1, append(shardTargets(8), readyTargets("s", 2)...), gatherRoute(8, 0.5), plainRoute(true))
	h.run(2 * gossipInterval)
	if got := h.g.sendingInstances(h.g.service(shard(0))); got != 6 {
		t.Errorf("shares for %d instances, want the 6 that gather", got)
	}
	if got := h.g.sendingInstances(h.g.service(ServiceID("s"))); got != 31 {
		t.Errorf("shares for %d instances at a plain service, want all 31", got)
	}
}
