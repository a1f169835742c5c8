package gateway

import (
	"bytes"
	"testing"
	"time"
)

// inPlaceWithoutTargets puts the instance in a data centre without targets.
func inPlaceWithoutTargets(c *Config) { c.Place = "apapa" }

// gatheredAnswer returns the successful end of a Delegate.
func gatheredAnswer(a AttemptID) AttemptEnded {
	return AttemptEnded{Attempt: a, Outcome: OutcomeSuccess, Configuration: 1, Gathered: Gathered{Stamps: []string{"x", "y"}, Missing: 2, Records: record(9)}}
}

// newHarnessFarFromShards returns an instance in a data centre without targets that
// knows n other instances in data centres with targets of all shards.
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

// Guards against a message to each shard across data centres: an instance without
// targets in its data centre delegates the request and passes the answer on.
func TestRequestIsDelegatedToInstanceNearShards(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	id := h.request("/g/x", time.Second)
	if len(h.delegated) != 1 || len(h.sent) != 0 {
		t.Fatalf("got %d delegations and %d parts sent, want 1 delegation and 0 parts sent", len(h.delegated), len(h.sent))
	}
	h.step(gatheredAnswer(h.delegated[0].Attempt))
	if a := h.answers[id]; a.Kind != AnswerGathered || a.Missing != 2 || len(a.Stamps) != 2 || len(a.Records) != RecordSize {
		t.Errorf("got answer %+v, want the gathered answer of the other instance, with 2 missing parts, 2 stamps and 1 record", a)
	}

	near := newHarness(t)
	near.addMembers(2)
	near.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	near.request("/g/x", time.Second)
	if len(near.delegated) != 0 || len(near.sent) != 8 {
		t.Error("an instance near the shards delegated a request or did not send 8 parts, want no delegation and 8 parts sent")
	}
}

// Guards against small instances that gather although larger ones are known.
func TestSmallInstanceDelegatesToLargeInstance(t *testing.T) {
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
			t.Errorf("got a delegation to %s, want only delegations to the large instance", d.To)
		}
	}
	if len(h.delegated) != 5 {
		t.Errorf("got %d delegations, want 5", len(h.delegated))
	}
}

// Guards against requests that fail with the gathering instance: an instance that
// refuses has sent nothing, so another one is asked, and if none is left the instance
// gathers itself.
func TestRefusedDelegationIsRetried(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	h.request("/g/x", time.Second)
	h.step(AttemptEnded{Attempt: h.delegated[0].Attempt, Outcome: OutcomeShed, Cause: "stops"})
	if len(h.delegated) != 2 || h.delegated[1].To == h.delegated[0].To {
		t.Fatalf("got %d delegations, want 2 to different instances", len(h.delegated))
	}
	h.step(AttemptEnded{Attempt: h.delegated[1].Attempt, Outcome: OutcomeNotSent, Cause: "refused"})
	if len(h.sent) != 8 {
		t.Errorf("got %d parts sent by the instance itself, want 8", len(h.sent))
	}
}

// Guards against more attempts for a shard than the route allows: a gathering instance
// that failed may have made them all, so the request is not delegated again.
func TestFailedDelegationIsNotRetried(t *testing.T) {
	for _, o := range []Outcome{OutcomeBroken, OutcomeTimedOut, OutcomeFailure} {
		h := newHarnessFarFromShards(t, 2)
		id := h.request("/g/x", time.Second)
		h.step(AttemptEnded{Attempt: h.delegated[0].Attempt, Outcome: o, Cause: "broken"})
		h.run(time.Second)
		if len(h.delegated) != 1 || len(h.sent) != 0 {
			t.Errorf("%v: got %d delegations and %d parts sent, want 1 delegation and 0 parts sent", o, len(h.delegated), len(h.sent))
		}
		if a := h.answers[id]; a.Kind != AnswerFailed {
			t.Errorf("%v: answered %v, want failed", o, a.Kind)
		}
	}
}

// Guards against callers that wait for a gathering instance that died: it is probed,
// its requests fail while their callers still have half of their time for a retry, and it
// gets no new requests.
func TestUnresponsiveGathererIsAbandoned(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	start := h.now
	id := h.request("/g/x", time.Second)
	asked := h.delegated[0].To
	h.run(150 * ms) // about half the objective and two probes
	for range 10 {
		h.request("/g/x", time.Second)
	}
	for _, d := range h.delegated[1:] {
		if d.To == asked {
			t.Error("a request was delegated to the unresponsive instance again, want no further delegation to it")
		}
	}
	h.run(400 * ms)
	if a, ok := h.answers[id]; !ok || a.Kind != AnswerFailed {
		t.Fatalf("got no answer or answer %v within 550 ms, want failed", a.Kind)
	}
	if took := h.answeredAt[id] - start; took > 500*ms {
		t.Errorf("failed after %v, want within 500 ms, half of the caller's time", took)
	}
}

// Guards against work that is given up although its gathering instance is only silent for
// a while, as one that is busy with its first answers.
func TestBusyGathererKeepsItsRequests(t *testing.T) {
	h := newHarnessFarFromShards(t, 1)
	id := h.request("/g/x", time.Second)
	h.run(60*ms + 300*ms) // the first probe comes after half the objective
	if a, ok := h.answers[id]; ok {
		t.Fatalf("answered %v (%s) after 300 ms of silence, want no answer yet", a.Kind, a.Reason)
	}
	h.step(gatheredAnswer(h.delegated[0].Attempt))
	if a := h.answers[id]; a.Kind != AnswerGathered {
		t.Errorf("answered %v, want gathered", a.Kind)
	}
}

// Guards against failing requests at a gathering instance that is slow but alive.
func TestSlowGathererThatAnswersProbeIsKept(t *testing.T) {
	h := newHarnessFarFromShards(t, 1)
	id := h.request("/g/x", time.Second)
	h.run(60 * ms)
	m := otherMember(0)
	m.Heartbeat, m.Configuration = 2, 1
	h.receiveState(m)
	h.run(200 * ms)
	if a, ok := h.answers[id]; ok {
		t.Fatalf("answered %v (%s) while the gathering instance is alive, want no answer yet", a.Kind, a.Reason)
	}
	h.step(gatheredAnswer(h.delegated[0].Attempt))
	if a := h.answers[id]; a.Kind != AnswerGathered {
		t.Errorf("answered %v, want gathered", a.Kind)
	}
}

// Guards against small instances that gather themselves for seconds after each new
// configuration because they don't know yet which instances have it in force.
func TestGatheringIsDelegatedWhileAConfigurationSpreads(t *testing.T) {
	h := newHarnessFarFromShards(t, 2)
	h.publish(2, shardTargets(8), gatherRoute(8, 0.5))
	h.request("/g/x", time.Second)
	if len(h.delegated) != 1 || len(h.sent) != 0 {
		t.Errorf("got %d delegations and %d parts sent, want 1 delegation and 0 parts sent", len(h.delegated), len(h.sent))
	}
}

// Guards against repeated delegation to an instance with an older configuration: once
// it has refused a request for that reason, it is not asked for behindRetryDelay.
func TestGathererWithOlderConfigurationIsAvoided(t *testing.T) {
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
			t.Fatal("a request was delegated again at once to the instance with an older configuration, want none before behindRetryDelay")
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
		t.Error("got no delegation to the instance after behindRetryDelay, want at least one of 40 requests delegated to it")
	}
}

// Guards against delegation to an instance that may lack the configuration in force
// while another instance is known to have it.
func TestGathererWithCurrentConfigurationIsPreferred(t *testing.T) {
	h := newHarness(t, inPlaceWithoutTargets)
	for j := range 2 {
		m := otherMember(j)
		m.Configuration = uint64(j)
		h.receiveState(m)
	}
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.request("/g/x", time.Second)
	if len(h.delegated) != 1 || h.delegated[0].To != otherMember(1).Address {
		t.Errorf("got delegations %+v, want one to the instance with the current configuration", h.delegated)
	}
}

// Guards against an answer under an older configuration than the delegating instance
// has: an instance that is behind refuses and sends nothing.
func TestInstanceWithOlderConfigurationRefusesDelegation(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.step(Arrived{Request: 50, Host: "h.example", Path: "/g/x", At: h.now, Remaining: time.Second,
		Delegated: &Delegation{Objective: 90 * ms, Deadline: 900 * ms, Configuration: 2}})
	if a := h.answers[50]; a.Kind != AnswerRefused || len(h.sent) != 0 {
		t.Errorf("got answer %v after %d sends, want refused without sends", a.Kind, len(h.sent))
	}
}

// Guards against delegated requests that a graceful stop cuts off: a stopping instance
// refuses them, so that they are gathered elsewhere.
func TestStoppingInstanceRefusesDelegation(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.step(Stop{})
	h.step(Arrived{Request: 50, Host: "h.example", Path: "/g/x", At: h.now, Remaining: time.Second,
		Delegated: &Delegation{Objective: 90 * ms, Deadline: 900 * ms, Configuration: 1}})
	if a := h.answers[50]; a.Kind != AnswerRefused || len(h.sent) != 0 {
		t.Errorf("got answer %v after %d sends, want refused without sends", a.Kind, len(h.sent))
	}
	id := h.request("/g/x", time.Second)
	if len(h.sentTo(id)) != 8 {
		t.Error("the number of parts sent during the stop for the instance's own caller is not 8, want 8")
	}
}

// Guards against shares of connections and retry budget that are too small: only the
// gathering instances send to shards, so the fleet is not counted as a whole.
func TestShardSharesCountGatherersOnly(t *testing.T) {
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
		t.Errorf("got %d instances that share the limits of a shard, want the 6 that gather", got)
	}
	if got := h.g.sendingInstances(h.g.service(ServiceID("s"))); got != 31 {
		t.Errorf("got %d instances that share the limits of a plain service, want all 31", got)
	}
}

// Guards against an answer of another instance that is cut off or malformed, and reaches the
// caller as a complete success.
func TestMalformedGatheredAnswerIsNotASuccess(t *testing.T) {
	for name, gathered := range map[string]Gathered{
		"no parts":                {Missing: 8},
		"part without a stamp":    {Stamps: []string{"x", "", "z", "v"}, Missing: 4},
		"part named twice":        {Stamps: []string{"x", "y", "x", "v"}, Missing: 4},
		"too few parts":           {Stamps: []string{"x", "y", "z"}, Missing: 5},
		"part of a record":        {Stamps: []string{"x", "y", "z", "v"}, Missing: 4, Records: record(1)[:9]},
		"more records than asked": {Stamps: []string{"x", "y", "z", "v"}, Missing: 4, Records: bytes.Repeat(record(1), 4)},
		"negative missing":        {Stamps: []string{"x"}, Missing: -1},
	} {
		h := newHarnessFarFromShards(t, 2)
		id := h.request("/g/x", time.Second)
		h.step(AttemptEnded{Attempt: h.delegated[0].Attempt, Outcome: OutcomeSuccess, Configuration: 1, Gathered: gathered})
		if a := h.answers[id]; a.Kind != AnswerFailed {
			t.Errorf("%s: answered %v, want failed", name, a.Kind)
		}
	}
}
