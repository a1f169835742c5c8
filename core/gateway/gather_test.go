package gateway

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenadyke.dev/core/model"
)

// Guards against wrong records in a gathered answer: the merge returns the first k of
// all sorted records, keeps duplicates and ignores remainders.
func TestGreatestRecordsReturnsSortedPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts [][]byte
		var all []string
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			part := rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 70).Draw(t, "part")
			parts = append(parts, part)
			for p := part; len(p) >= RecordSize; p = p[RecordSize:] {
				all = append(all, string(p[:RecordSize]))
			}
		}
		k := rapid.IntRange(0, 20).Draw(t, "k")
		slices.Sort(all)
		slices.Reverse(all)
		var want []byte
		for _, r := range all[:min(k, len(all))] {
			want = append(want, r...)
		}
		if got := greatestRecords(parts, k); !bytes.Equal(got, want) {
			t.Fatalf("got records %x, want the greatest records %x", got, want)
		}
	})
}

// Guards against answers that wait for a straggler beyond the objective, and against a
// partial answer that doesn't state its missing parts.
func TestPartialAnswerAtTheObjective(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(10), gatherRoute(10, 0.8))
	h.targets["shard03-0"], h.targets["shard03-1"] = neverAnswers, neverAnswers
	start := h.now
	id := h.request("/g/x", time.Second)
	h.run(2 * time.Second)
	a := h.answers[id]
	if a.Kind != AnswerGathered || a.Missing != 1 || len(a.Stamps) != 9 {
		t.Errorf("got answer %v with %d stamps and %d missing parts, want gathered with 9 stamps and 1 missing part", a.Kind, len(a.Stamps), a.Missing)
	}
	if took := h.answeredAt[id] - start; took > 120*ms {
		t.Errorf("answered after %v, want within the objective of 120 ms", took)
	}
}

// Guards against an answer below the minimum coverage: after the objective has passed,
// the request is answered as soon as enough parts are answered.
func TestNoAnswerBelowMinCoverage(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(10), gatherRoute(10, 0.8))
	for i := range 3 {
		for _, target := range readyTargets(shard(i), 2) {
			h.targets[target.ID] = answersAfter(time.Duration(300+100*i) * ms)
		}
	}
	start := h.now
	id := h.request("/g/x", time.Second)
	h.run(2 * time.Second)
	if a := h.answers[id]; a.Kind != AnswerGathered || a.Missing != 2 {
		t.Errorf("got answer %v with %d missing parts, want gathered with 2, at a coverage of 0.8", a.Kind, a.Missing)
	}
	if took := h.answeredAt[id] - start; took != 300*ms {
		t.Errorf("answered after %v, want exactly 300 ms, when the eighth part is answered", took)
	}
}

// Guards against sending parts of a request that can't reach its coverage: it is
// refused as not run before anything is sent.
func TestQueryWithoutEnoughShardsIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(7), gatherRoute(10, 0.8))
	id := h.request("/g/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerRefused || len(h.sent) != 0 {
		t.Errorf("got answer %v after %d sends, want refused without sends", a.Kind, len(h.sent))
	}
}

// Guards against a latency that is determined by pauses of targets: a part that takes
// long is hedged at the other target, and only its first answer is used.
func TestLatePartIsHedged(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(4), gatherRoute(4, 1))
	for range 50 {
		h.request("/g/x", time.Second)
		h.run(100 * ms)
	}
	paused := model.TargetID("shard02-0")
	h.targets[paused] = answersAfter(150 * ms)
	start := h.now
	id := h.request("/g/x", time.Second)
	h.run(500 * ms)
	if !slices.Contains(h.sentTo(id), paused) {
		t.Fatal("got no part sent to the paused target, which the test needs")
	}
	if took := h.answeredAt[id] - start; took > 60*ms {
		t.Errorf("answered after %v, want at most 60 ms: the hedge's answer comes before the pause of 150 ms ends", took)
	}
	if a := h.answers[id]; a.Missing != 0 || len(a.Stamps) != 4 {
		t.Errorf("got %d stamps and %d missing parts, want 4 stamps and 0 missing parts", len(a.Stamps), a.Missing)
	}
}

// Guards against parts that pile up at a paused target: while an attempt there is
// overdue, the next parts go to the other target.
func TestPausedTargetIsAvoided(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(4), gatherRoute(4, 1))
	for range 50 {
		h.request("/g/x", time.Second)
		h.run(100 * ms)
	}
	h.targets["shard02-0"] = answersAfter(250 * ms)
	h.request("/g/x", time.Second)
	h.run(50 * ms)
	before := len(h.sent)
	for range 5 {
		h.request("/g/x", time.Second)
		h.run(20 * ms)
	}
	for _, s := range h.sent[before:] {
		if s.Target == "shard02-0" {
			t.Error("a part was sent to the paused target, want the other target")
		}
	}
}

// Guards against a log line of a gathering request that doesn't state where its first
// attempts went and which of them was expected to be answered last.
func TestFirstAttemptsAreRecordedInSteps(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	for _, other := range h.g.service(shard(7)).targets {
		other.slowness, other.slownessAt = 9, h.now
	}
	id := h.request("/g/x", time.Second)
	h.run(time.Second)
	steps := h.answers[id].Steps
	if len(steps) == 0 || steps[0].Action != "sent" || steps[0].Subject != "8 parts" {
		t.Fatalf("got steps %+v, want a first step \"sent\" with subject \"8 parts\"", steps)
	}
	named := false
	for _, other := range h.g.service(shard(7)).targets {
		named = named || strings.Contains(steps[0].Detail, "slowest expected is "+string(other.ID))
	}
	if !named {
		t.Errorf("got detail %q, want a target of the slow shard named as slowest", steps[0].Detail)
	}
}
