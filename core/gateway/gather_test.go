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

// Guards against wrong records: the merge is the sorted prefix of all records,
// equal ones included, and remainders are not records.
func TestGreatestIsTheSortedPrefix(t *testing.T) {
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
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// Guards against answers that wait for a straggler beyond the objective, and
// against a coverage that is not stated.
func TestPartialAnswerAtTheObjective(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(10), gatherRoute(10, 0.8))
	h.targets["shard03-0"], h.targets["shard03-1"] = silent, silent
	start := h.now
	id := h.request("/g/x", time.Second)
	h.run(2 * time.Second)
	a := h.answers[id]
	if a.Kind != AnswerGathered || a.Missing != 1 || len(a.Stamps) != 9 {
		t.Errorf("got %v with %d stamps and %d missing, want 9 and 1", a.Kind, len(a.Stamps), a.Missing)
	}
	if took := h.answeredAt[id] - start; took > 120*ms {
		t.Errorf("answered after %v, want within the objective of 120 ms", took)
	}
}

// Guards against an answer below the least coverage: it waits, and is given up
// as late if the parts do not come.
func TestNoAnswerBelowTheLeastCoverage(t *testing.T) {
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
		t.Errorf("got %v with %d missing, want 2 as soon as 0.8 are in", a.Kind, a.Missing)
	}
	if took := h.answeredAt[id] - start; took != 300*ms {
		t.Errorf("answered after %v, want 300 ms, when the eighth part came", took)
	}
}

// Guards against waiting for what can't come: a query that can't reach its
// coverage is refused before anything is sent, truthfully.
func TestQueryWithoutEnoughShardsIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(7), gatherRoute(10, 0.8))
	id := h.request("/g/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerRefused || len(h.sent) != 0 {
		t.Errorf("got %v after %d sends, want a refusal before any", a.Kind, len(h.sent))
	}
}

// Guards against pauses of targets that decide the latency: a part that is late
// is sent to the other target, and the first answer counts once.
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
		t.Fatal("the test needs a part at the paused target")
	}
	if took := h.answeredAt[id] - start; took > 60*ms {
		t.Errorf("answered after %v, want the hedge's answer well before the pause of 150 ms ends", took)
	}
	if a := h.answers[id]; a.Missing != 0 || len(a.Stamps) != 4 {
		t.Errorf("%d stamps and %d missing, want each shard once", len(a.Stamps), a.Missing)
	}
}

// Guards against parts of queries that pile up at a target that pauses: while
// one waits longer than usual there, the next go to the other target.
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
			t.Error("a part was sent to the paused target")
		}
	}
}

// Guards against a query whose line does not say where its first attempts went,
// and which of them it could be expected to wait for.
func TestFirstAttemptsOfAQueryAreExplained(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(8), gatherRoute(8, 0.5))
	for _, other := range h.g.service(shard(7)).targets {
		other.slowness, other.slownessAt = 9, h.now
	}
	id := h.request("/g/x", time.Second)
	h.run(time.Second)
	steps := h.answers[id].Steps
	if len(steps) == 0 || steps[0].Action != "sent" || steps[0].Subject != "8 parts" {
		t.Fatalf("steps %+v", steps)
	}
	worst := false
	for _, other := range h.g.service(shard(7)).targets {
		worst = worst || strings.Contains(steps[0].Detail, "slowest expected is "+string(other.ID))
	}
	if !worst {
		t.Errorf("%q does not name a target of the slow shard", steps[0].Detail)
	}
}
