package gateway

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenadyke.dev/core/model"
)

// remoteTargets returns for each of n shards a target in lekki and one in yaba. The
// gateway is in ikeja.
func remoteTargets(n int) []Target {
	var out []Target
	for i := range n {
		for j, place := range []model.PlaceID{"lekki", "yaba"} {
			t := readyTargets(shard(i), j+1)[j]
			t.Place = place
			out = append(out, t)
		}
	}
	return out
}

// newHarnessWithForwarder returns an instance with a route over n shards whose targets are
// in lekki and, if it is slower, in yaba. Only lekki has a forwarder.
func newHarnessWithForwarder(t *testing.T, n int, coverage float64) *harness {
	h := newHarness(t)
	m := otherMember(1)
	m.Place, m.Configuration = "lekki", 1
	h.receiveState(m)
	h.publish(1, remoteTargets(n), gatherRoute(n, coverage))
	for _, target := range h.g.targets {
		if target.Place == "yaba" {
			target.slowness, target.slownessAt = 4, h.now // so that first attempts go to lekki
		}
	}
	return h
}

// delegatedRequest passes a request over all shards to the gateway that another instance
// delegates, so that it is not delegated again, and returns its ID.
func (h *harness) delegatedRequest() RequestID {
	h.lastRequest++
	h.step(Arrived{Request: h.lastRequest, Host: "h.example", Path: "/g/x", At: h.now, Remaining: time.Second,
		Delegated: &Delegation{Objective: 100 * ms, Deadline: 980 * ms, Configuration: 1}})
	return h.lastRequest
}

// succeeded returns the successful end of the attempt at index i of a batch.
func succeeded(i int, stamp string) BatchEnd {
	return BatchEnd{Index: i, End: AttemptEnded{Outcome: OutcomeSuccess, Status: 200, Reused: true, Part: Part{Stamp: stamp}}}
}

// Guards against a message to each shard across data centres: the attempts in another data
// centre are one message, and its reply makes the whole answer.
func TestAttemptsInAnotherPlaceAreForwardedAsABatch(t *testing.T) {
	h := newHarnessWithForwarder(t, 8, 1)
	id := h.delegatedRequest()
	if len(h.batches) != 1 || len(h.batches[0].Targets) != 8 || len(h.sent) != 0 {
		t.Fatalf("got %d batches and %d direct attempts, want 1 batch of 8 attempts and 0 direct attempts", len(h.batches), len(h.sent))
	}
	b := h.batches[0]
	reply := BatchReplied{Batch: b.Batch, Records: append(record(9), record(5)...)}
	for i := range 8 {
		reply.Ends = append(reply.Ends, succeeded(i, fmt.Sprint("stamp", i)))
	}
	h.step(reply, BatchEnded{Batch: b.Batch, Outcome: OutcomeSuccess})
	if a := h.answers[id]; a.Kind != AnswerGathered || len(a.Stamps) != 8 || a.Missing != 0 || !bytes.Equal(a.Records, reply.Records) {
		t.Errorf("got answer %v with %d stamps and %d bytes of records, want gathered with 8 stamps and the 32 bytes of the reply", a.Kind, len(a.Stamps), len(a.Records))
	}
	if len(h.g.attempts) != 0 || len(h.g.batches) != 0 || len(h.g.requests) != 0 {
		t.Errorf("%d attempts, %d batches and %d requests are left, want none", len(h.g.attempts), len(h.g.batches), len(h.g.requests))
	}
}

// Guards against callers that wait for a forwarder that is silent: its parts are hedged,
// and the caller is answered within the objective. The forwarder gets no new batches, and
// nothing that it does is counted against its targets.
func TestPartsOfASilentForwarderAreHedged(t *testing.T) {
	h := newHarnessWithForwarder(t, 8, 1)
	start := h.now
	id := h.delegatedRequest()
	h.run(400 * ms)
	a, ok := h.answers[id]
	if !ok || a.Kind != AnswerGathered || a.Missing != 0 {
		t.Fatalf("got answer %v, want a complete gathered answer", a.Kind)
	}
	if took := h.answeredAt[id] - start; took > 120*ms {
		t.Errorf("answered after %v, want within 120 ms", took)
	}
	if len(h.sent) != 8 {
		t.Errorf("got %d direct attempts, want 8 hedges", len(h.sent))
	}
	h.run(time.Second) // until the attempts in flight are cancelled
	if !slices.Contains(h.cancelled, h.batches[0].Batch) {
		t.Error("the batch was not cancelled, want it cancelled after the answer")
	}
	h.step(BatchEnded{Batch: h.batches[0].Batch, Outcome: OutcomeTimedOut})
	for _, id := range sortedKeys(h.g.targets) {
		if target := h.g.targets[id]; target.downUntil > 0 || len(target.inFlight) > 0 {
			t.Errorf("target %s is down until %v with %d attempts in flight, want up with none", id, target.downUntil, len(target.inFlight))
		}
	}
}

// Guards against attempts that are lost or made twice when an instance refuses to forward
// or can't be reached: the attempts are sent directly, each once.
func TestRefusedBatchIsSentDirectly(t *testing.T) {
	for name, end := range map[string]func(SendBatch) Input{
		"not reached": func(b SendBatch) Input { return BatchEnded{Batch: b.Batch, Outcome: OutcomeNotSent, Cause: "refused"} },
		"older build": func(b SendBatch) Input {
			return BatchEnded{Batch: b.Batch, Outcome: OutcomeShed, Cause: "unimplemented"}
		},
		"each refused": func(b SendBatch) Input {
			in := BatchReplied{Batch: b.Batch}
			for i := range b.Targets {
				in.Ends = append(in.Ends, BatchEnd{Index: i, Refused: true})
			}
			return in
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWithForwarder(t, 8, 1)
			id := h.delegatedRequest()
			h.step(end(h.batches[0]))
			if len(h.sent) != 8 {
				t.Fatalf("got %d direct attempts, want 8", len(h.sent))
			}
			h.run(50 * ms)
			if a := h.answers[id]; a.Kind != AnswerGathered || a.Missing != 0 || a.Attempts != 8 {
				t.Errorf("got answer %v after %d attempts, want a complete gathered answer after 8", a.Kind, a.Attempts)
			}
		})
	}
}

// Guards against more attempts for a shard than the route allows, and against parts that
// are given up, when a forwarder fails after it may have sent the attempts: each part is
// retried at its other target, and the instance is not asked to forward again.
func TestPartsOfALostForwarderAreRetried(t *testing.T) {
	h := newHarnessWithForwarder(t, 8, 1)
	id := h.delegatedRequest()
	h.step(BatchEnded{Batch: h.batches[0].Batch, Outcome: OutcomeBroken, Cause: "reset"})
	h.run(50 * ms)
	if a := h.answers[id]; a.Kind != AnswerGathered || a.Missing != 0 || a.Attempts != 16 {
		t.Errorf("got answer %v after %d attempts, want a complete gathered answer after 16: two for each part", a.Kind, a.Attempts)
	}
	for _, s := range h.sent {
		if slices.Contains(h.batches[0].Targets, s.Target) {
			t.Errorf("target %s, which may have run its part, got it again", s.Target)
		}
	}
	h.delegatedRequest()
	if len(h.batches) != 1 {
		t.Errorf("got %d batches, want no further one through the instance that failed", len(h.batches))
	}
}

// Guards against replies that are malformed, as from another build: the batch counts as
// broken, and the request is answered from other targets.
func TestMalformedBatchReplyIsRefused(t *testing.T) {
	for name, reply := range map[string]BatchReplied{
		"index out of range":      {Ends: []BatchEnd{succeeded(8, "x")}},
		"negative index":          {Ends: []BatchEnd{succeeded(-1, "x")}},
		"attempt named twice":     {Ends: []BatchEnd{succeeded(0, "x"), succeeded(0, "y")}},
		"success without a stamp": {Ends: []BatchEnd{succeeded(0, "")}},
		"unknown outcome":         {Ends: []BatchEnd{{Index: 0, End: AttemptEnded{Outcome: 200}}}},
		"part of a record":        {Ends: []BatchEnd{succeeded(0, "x")}, Records: record(1)[:9]},
		"too many records":        {Ends: []BatchEnd{succeeded(0, "x")}, Records: bytes.Repeat(record(1), 4)},
		"records without parts":   {Records: record(1)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWithForwarder(t, 8, 1)
			id := h.delegatedRequest()
			reply.Batch = h.batches[0].Batch
			h.step(reply)
			if !slices.Contains(h.cancelled, reply.Batch) || !h.sawEvent("ForwarderAvoided", "m01") {
				t.Error("the batch was not cancelled or its forwarder not avoided")
			}
			h.step(reply, BatchEnded{Batch: reply.Batch, Outcome: OutcomeTimedOut}) // must have no effect
			h.run(50 * ms)
			if a := h.answers[id]; a.Kind != AnswerGathered || a.Missing != 0 {
				t.Errorf("got answer %v, want a complete gathered answer", a.Kind)
			}
		})
	}
}

// Guards against answers whose records don't belong to the parts that they name: in any
// order of replies, hedges and failures, the records are the greatest of exactly the parts
// with a stamp, and no part counts twice.
func TestForwardedAnswerHoldsTheRecordsOfItsParts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const shards = 6
		h := newHarnessWithForwarder(t, shards, 0.5)
		records := make(map[string][]byte) // by stamp
		part := func(target model.TargetID) Part {
			stamp := "stamp-" + string(target)
			if records[stamp] == nil {
				records[stamp] = bytes.Repeat(record(rapid.Byte().Draw(rt, "record")), rapid.IntRange(0, 4).Draw(rt, "records"))
			}
			return Part{Stamp: stamp, Records: records[stamp]}
		}
		for _, target := range h.g.targets {
			h.targets[target.ID] = func(s SendAttempt) (time.Duration, AttemptEnded) {
				return time.Duration(rapid.IntRange(1, 60).Draw(rt, "hedge_ms")) * ms,
					AttemptEnded{Outcome: OutcomeSuccess, Status: 200, Reused: true, Part: part(s.Target)}
			}
		}
		id := h.delegatedRequest()
		b := h.batches[0]
		order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5}).Draw(rt, "order")
		for len(order) > 0 {
			size := rapid.IntRange(1, len(order)).Draw(rt, "report")
			h.run(time.Duration(rapid.IntRange(0, 40).Draw(rt, "gap_ms")) * ms)
			in := BatchReplied{Batch: b.Batch}
			var parts [][]byte
			for _, i := range order[:size] {
				if rapid.Bool().Draw(rt, "failed") {
					in.Ends = append(in.Ends, BatchEnd{Index: i, End: AttemptEnded{Outcome: OutcomeBroken, Cause: "reset"}})
					continue
				}
				p := part(b.Targets[i])
				in.Ends, parts = append(in.Ends, succeeded(i, p.Stamp)), append(parts, p.Records)
			}
			in.Records, order = greatestRecords(parts, 3), order[size:]
			h.step(in)
		}
		h.step(BatchEnded{Batch: b.Batch, Outcome: OutcomeSuccess})
		h.run(3 * time.Second)
		a := h.answers[id]
		if a.Kind != AnswerGathered {
			return
		}
		var parts [][]byte
		seen := make(map[string]bool)
		for _, stamp := range a.Stamps {
			shardName := stamp[:len("stamp-shard00")]
			if seen[shardName] {
				rt.Fatalf("shard %s counts twice", shardName)
			}
			seen[shardName] = true
			parts = append(parts, records[stamp])
		}
		if want := greatestRecords(parts, 3); !bytes.Equal(a.Records, want) || len(a.Stamps)+a.Missing != shards {
			rt.Fatalf("got records %x with %d stamps and %d missing parts, want records %x and %d parts", a.Records, len(a.Stamps), a.Missing, want, shards)
		}
		if len(h.g.attempts) != 0 || len(h.g.batches) != 0 || len(h.g.requests) != 0 {
			rt.Fatalf("%d attempts, %d batches and %d requests are left, want none", len(h.g.attempts), len(h.g.batches), len(h.g.requests))
		}
	})
}

// forwardBatch passes a batch for the first target of each of n shards to the gateway.
func (h *harness) forwardBatch(n int, reportDelay, deadline time.Duration) RequestID {
	h.lastRequest++
	in := BatchArrived{Request: h.lastRequest, Route: "gather", TopK: 3, At: h.now, ReportDelay: reportDelay, Deadline: deadline, Remaining: deadline}
	for i := range n {
		in.Targets = append(in.Targets, model.TargetID(string(shard(i))+"-0"))
	}
	h.step(in)
	return h.lastRequest
}

// reportedEnds returns the outcomes that were reported for a batch, by index.
func (h *harness) reportedEnds(t *testing.T) map[int]BatchEnd {
	out := make(map[int]BatchEnd)
	for _, r := range h.replies {
		for _, end := range r.Ends {
			if _, again := out[end.Index]; again {
				t.Errorf("the end of attempt %d is reported twice", end.Index)
			}
			out[end.Index] = end
		}
	}
	return out
}

// Guards against a forwarder that sends an attempt twice, hedges or retries it, which its
// sender could not count, and against ends that wait for a straggler.
func TestForwarderSendsEachAttemptOnceAndReportsInTime(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.targets["shard02-0"] = answersAfter(14 * ms)
	h.targets["shard03-0"] = neverAnswers
	h.targets["shard04-0"] = endsAfter(30*ms, OutcomeBroken)
	h.forwardBatch(8, 8*ms, time.Second)
	h.run(18 * ms) // five answers come after 10 ms, one after 14 ms
	if len(h.replies) != 1 || len(h.replies[0].Ends) != 6 || len(h.replies[0].Records) != 3*RecordSize || h.replies[0].Done {
		t.Fatalf("got replies %+v after 18 ms, want one with 6 ends and the 3 greatest records", h.replies)
	}
	h.run(20 * ms)
	if len(h.replies) != 2 || h.replies[1].Ends[0].End.Outcome != OutcomeBroken {
		t.Errorf("got %d replies, want a second one with the broken attempt", len(h.replies))
	}
	h.run(2 * time.Second)
	if ends := h.reportedEnds(t); len(ends) != 8 || ends[3].End.Outcome != OutcomeTimedOut || !h.replies[len(h.replies)-1].Done {
		t.Errorf("got ends %+v, want 8 with attempt 3 timed out, and the last reply done", ends)
	}
	if len(h.sent) != 8 || len(h.g.requests) != 0 {
		t.Errorf("got %d attempts and %d requests left, want 8 attempts and no request", len(h.sent), len(h.g.requests))
	}
}

// Guards against ends that wait to be reported with others although their sender asked for
// each at once, so that their records would be merged.
func TestForwarderReportsHedgesOneByOne(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.forwardBatch(8, 0, time.Second)
	h.run(20 * ms)
	for _, r := range h.replies {
		if len(r.Ends) != 1 {
			t.Errorf("got a reply with %d ends, want 1", len(r.Ends))
		}
	}
	if len(h.replies) != 8 {
		t.Errorf("got %d replies, want 8", len(h.replies))
	}
}

// Guards against a forwarder that uses a server which has left, drains or is unknown to it,
// and against attempts that it accepts while it stops.
func TestForwarderRefusesTargetsThatItMustNotUse(t *testing.T) {
	h := newHarness(t)
	targets := shardTargets(8)
	targets[0].State = TargetDraining // shard00-0
	h.publish(1, slices.Delete(targets, 2, 3), gatherRoute(8, 0.5))
	h.forwardBatch(8, 20*ms, time.Second)
	h.run(2 * time.Second)
	ends := h.reportedEnds(t)
	for i := range 8 {
		if want := i < 2; ends[i].Refused != want {
			t.Errorf("attempt %d: refused is %v, want %v", i, ends[i].Refused, want)
		}
	}
	h.replies = nil
	h.step(Stop{})
	sent := len(h.sent)
	h.forwardBatch(8, 20*ms, time.Second)
	if ends := h.reportedEnds(t); len(ends) != 8 || !ends[7].Refused || len(h.sent) != sent {
		t.Errorf("a stopping instance reported %d ends and sent %d attempts, want 8 refusals and none sent", len(ends), len(h.sent)-sent)
	}
}

// Guards against attempts that go on at targets after the caller has left: the forwarder
// cancels them when the sender gives up the batch.
func TestForwarderCancelsAbandonedBatch(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	for i := range 8 {
		h.targets[model.TargetID(string(shard(i))+"-0")] = neverAnswers
	}
	id := h.forwardBatch(8, 20*ms, time.Second)
	h.step(CallerDisconnected{Request: id})
	if len(h.cancelled) != 8 {
		t.Errorf("got %d attempts cancelled, want 8", len(h.cancelled))
	}
	h.run(10 * ms)
	if len(h.g.requests) != 0 || len(h.g.attempts) != 0 {
		t.Errorf("%d requests and %d attempts are left, want none", len(h.g.requests), len(h.g.attempts))
	}
}

// Guards against a stop that cuts off a batch without a word: the attempts in flight are
// reported as ended, so that the sender can retry them, before the instance stops.
func TestStoppingForwarderReportsItsAttempts(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	h.targets["shard03-0"] = neverAnswers
	h.forwardBatch(8, 20*ms, time.Minute)
	h.step(Stop{})
	h.run(h.g.cfg.StopTime)
	if ends := h.reportedEnds(t); len(ends) != 8 || ends[3].End.Outcome != OutcomeTimedOut || !h.replies[len(h.replies)-1].Done || !h.stopped {
		t.Errorf("got %d ends, stopped %v, want all 8 with attempt 3 timed out, the last reply done, and the instance stopped", len(ends), h.stopped)
	}
}

// Guards against forwarders that are excluded although they work: one that refuses the only
// attempt of a batch because its connections to the target are in use, or whose targets are
// slow while it replies to other batches. One that stops is excluded.
func TestWorkingForwarderIsNotAvoided(t *testing.T) {
	for name, c := range map[string]struct {
		reply func(SendBatch) BatchReplied
		want  bool // avoided
	}{
		"refused": {func(b SendBatch) BatchReplied {
			return BatchReplied{Batch: b.Batch, Ends: []BatchEnd{{Index: 0, Refused: true}}}
		}, false},
		"slow targets": {func(b SendBatch) BatchReplied {
			return BatchReplied{Batch: b.Batch, Ends: []BatchEnd{succeeded(0, "x")}}
		}, false},
		"stopping": {func(b SendBatch) BatchReplied {
			return BatchReplied{Batch: b.Batch, Stopping: true, Ends: []BatchEnd{{Index: 0, Refused: true}}}
		}, true},
		"silent": {func(SendBatch) BatchReplied { return BatchReplied{} }, true},
	} {
		h := newHarnessWithForwarder(t, 8, 1)
		h.delegatedRequest()
		h.run(5 * ms)
		h.delegatedRequest()
		h.step(c.reply(h.batches[1]))
		h.run(200 * ms) // past the objectives
		if got := h.sawEvent("ForwarderAvoided", "m01"); got != c.want {
			t.Errorf("%s: avoided is %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a round trip for each attempt at an overloaded target: after a forwarder has
// refused one, attempts at the target are sent directly for a while.
func TestTargetsOfRefusedAttemptsAreAskedDirectly(t *testing.T) {
	h := newHarnessWithForwarder(t, 8, 1)
	h.delegatedRequest()
	refused := h.batches[0].Targets[3]
	h.step(BatchReplied{Batch: h.batches[0].Batch, Ends: []BatchEnd{{Index: 3, Refused: true}}})
	sent := len(h.sent)
	h.delegatedRequest()
	if len(h.sent) != sent+1 || h.sent[sent].Target != refused || len(h.batches) != 2 || len(h.batches[1].Targets) != 7 {
		t.Errorf("got %d direct attempts, want 1 at %s and 7 in the batch", len(h.sent)-sent, refused)
	}
	h.run(directAfterRefusal + ms)
	h.delegatedRequest()
	if last := h.batches[len(h.batches)-1]; !slices.Contains(last.Targets, refused) {
		t.Errorf("the batch has no attempt at %s after directAfterRefusal, want one", refused)
	}
}

// Guards against attempts beyond what an answer needs: an attempt that its forwarder refuses
// late is not sent directly if a hedge has answered the part meanwhile.
func TestRefusedAttemptOfAnAnsweredPartIsNotSent(t *testing.T) {
	h := newHarnessWithForwarder(t, 8, 1)
	h.delegatedRequest()
	b := h.batches[0]
	in := BatchReplied{Batch: b.Batch}
	for i := 1; i < 8; i++ {
		in.Ends = append(in.Ends, succeeded(i, fmt.Sprint("stamp", i)))
	}
	h.targets[h.other(b.Targets[0])] = answersAfter(ms)
	h.targets[h.other(b.Targets[1])] = neverAnswers
	in.Ends = in.Ends[1:] // parts 0 and 1 are hedged, and only the hedge of part 0 is answered
	h.step(in)
	h.run(90 * ms)
	sent := len(h.sent)
	h.step(BatchReplied{Batch: b.Batch, Ends: []BatchEnd{{Index: 0, Refused: true}, {Index: 1, Refused: true}}})
	if got := h.sent[sent:]; len(got) != 1 || got[0].Target != b.Targets[1] {
		t.Errorf("got direct attempts %+v, want one at %s, whose part is open", got, b.Targets[1])
	}
}

// other returns the other target of a target's shard.
func (h *harness) other(id model.TargetID) model.TargetID {
	for _, t := range h.g.service(h.g.targets[id].Service).targets {
		if t.ID != id {
			return t.ID
		}
	}
	return ""
}

// Guards against messages between data centres that grow with the shards: whatever their
// number, a request is one message to each of the other six data centres at most, and each
// shard is asked once.
func TestMessagesBetweenPlacesDoNotGrowWithTheShards(t *testing.T) {
	places := []model.PlaceID{"ikeja", "lekki", "yaba", "apapa", "imlil", "tichka", "azzaden"}
	for _, shards := range []int{20, 180, 450} {
		h := newHarness(t)
		for j := range 3 * len(places) {
			m := otherMember(j)
			m.Place, m.Configuration = places[j%len(places)], 1
			h.receiveState(m)
		}
		var targets []Target
		for i := range shards {
			for j := range 3 {
				target := readyTargets(shard(i), j+1)[j]
				target.Place = places[(i+2*j)%len(places)]
				targets = append(targets, target)
			}
		}
		h.publish(1, targets, gatherRoute(shards, 0.9))
		h.delegatedRequest()
		asked := len(h.sent)
		for _, b := range h.batches {
			asked += len(b.Targets)
		}
		for _, s := range h.sent {
			if place := h.g.targets[s.Target].Place; place != "ikeja" {
				t.Errorf("%d shards: a direct attempt goes to %s", shards, place)
			}
		}
		if len(h.batches) > len(places)-1 || asked != shards {
			t.Errorf("%d shards: got %d messages to other data centres for %d attempts, want at most %d for %d", shards, len(h.batches), asked, len(places)-1, shards)
		}
	}
}

// reshardedRoute returns a gathering route over shards of a set, and the target of each of them
// in the gateway's data centre.
func reshardedRoute(shards ...int) (Route, []Target) {
	r := gatherRoute(0, 1)
	var targets []Target
	for _, i := range shards {
		r.Shards = append(r.Shards, shard(i))
		targets = append(targets, readyTargets(shard(i), 1)...)
	}
	return r, targets
}

// Guards against an instance that has sent requests by a later configuration and goes back to
// an earlier one, and one that sends by a later configuration than its own, because it forwards
// attempts for an instance with another configuration.
func TestForwarderKeepsToItsConfiguration(t *testing.T) {
	earlier, earlierTargets := reshardedRoute(0, 1, 2, 3)
	later, laterTargets := reshardedRoute(2, 3, 4, 5)
	all := slices.Concat(earlierTargets, laterTargets[2:])
	dropped := later
	dropped.Name = "another"
	for name, c := range map[string]struct {
		routes []Route // of versions 7, 8 and so on at the forwarder
		batch  []Target
		want   []model.TargetID
	}{
		"the same configuration":          {[]Route{earlier}, earlierTargets, []model.TargetID{"shard00-0", "shard01-0", "shard02-0", "shard03-0"}},
		"the sender has an earlier one":   {[]Route{earlier, later}, earlierTargets, []model.TargetID{"shard02-0", "shard03-0"}},
		"the sender has a later one":      {[]Route{earlier}, laterTargets, []model.TargetID{"shard02-0", "shard03-0"}},
		"the sender has a dropped route":  {[]Route{earlier, dropped}, earlierTargets, nil},
		"the forwarder has no route yet":  {nil, earlierTargets, nil},
		"the sender is two versions back": {[]Route{earlier, later, dropped}, earlierTargets, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for i, r := range c.routes {
				h.publish(uint64(7+i), all, r)
			}
			if c.routes == nil {
				h.step(StoreRead{Revision: 1, Complete: true, Targets: all})
			}
			in := BatchArrived{Request: 1, Route: earlier.Name, TopK: 3, At: h.now, Deadline: time.Second, Remaining: time.Second}
			for _, target := range c.batch {
				in.Targets = append(in.Targets, target.ID)
			}
			h.step(in)
			if got := h.sentTo(1); !slices.Equal(got, c.want) {
				t.Errorf("got attempts at %v, want %v", got, c.want)
			}
			h.run(100 * ms)
			ends := 0
			for _, reply := range h.replies {
				for _, end := range reply.Ends {
					ends++
					if sent := slices.Contains(c.want, in.Targets[end.Index]); end.Refused == sent {
						t.Errorf("the attempt at %s is refused: %v, want %v", in.Targets[end.Index], end.Refused, !sent)
					}
				}
				if want := uint64(max(0, 6+len(c.routes))); len(c.routes) > 0 && reply.Configuration != want {
					t.Errorf("the reply names configuration %d, want %d", reply.Configuration, want)
				}
			}
			if ends != len(in.Targets) {
				t.Errorf("got %d ends, want %d", ends, len(in.Targets))
			}
		})
	}
}

// Guards against connections from all senders to all targets of a new set of shards: a forwarder
// that has another configuration for a moment is asked again soon.
func TestForwarderWithAnotherConfigurationIsAskedAgainSoon(t *testing.T) {
	h := newHarnessWithForwarder(t, 4, 1)
	h.delegatedRequest()
	b := h.batches[0]
	reply := BatchReplied{Batch: b.Batch, Configuration: 9}
	for i := range 4 {
		reply.Ends = append(reply.Ends, BatchEnd{Index: i, Refused: true})
	}
	h.step(reply, BatchEnded{Batch: b.Batch, Outcome: OutcomeSuccess})
	if len(h.sent) != 4 {
		t.Errorf("got %d direct attempts after the refusal, want 4", len(h.sent))
	}
	h.run(behindRetryDelay / 2)
	h.delegatedRequest()
	if len(h.batches) != 1 {
		t.Error("the forwarder is asked again at once")
	}
	h.run(behindRetryDelay/2 + 10*ms)
	h.delegatedRequest()
	if len(h.batches) != 2 || len(h.batches[1].Targets) != 4 {
		t.Errorf("got %d batches, want a second one of 4 attempts after %v", len(h.batches), behindRetryDelay)
	}
}

// Guards against batches to a forwarder that is known to have another configuration, while one
// with the same configuration has as few.
func TestForwarderWithTheSameConfigurationIsPreferred(t *testing.T) {
	h := newHarnessWithForwarder(t, 4, 1)
	behind := otherMember(3)
	behind.Place, behind.Configuration = "lekki", 0
	h.receiveState(behind)
	for range behindGathererCost {
		h.delegatedRequest()
	}
	for _, b := range h.batches {
		if b.To == behind.Address {
			t.Error("got a batch to the member with another configuration, want all to the other one")
		}
	}
}
