package gateway

import (
	"fmt"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// pausesFor returns a target that turns each request away and wants nothing for d.
func pausesFor(d time.Duration) targetBehaviour {
	return func(SendAttempt) (time.Duration, AttemptEnded) {
		return 5 * ms, AttemptEnded{Outcome: OutcomeShed, Status: 503, Reused: true, Pause: d, Cause: "turned away"}
	}
}

// sendTimes returns when attempts were sent to a target.
func (h *harness) sendTimes(id model.TargetID) []time.Duration {
	var times []time.Duration
	for i, s := range h.sent {
		if s.Target == id {
			times = append(times, h.sentAt[i])
		}
	}
	return times
}

// newHarnessWithPause returns an instance with the targets s-0 and s-1, of which s-0 has asked
// for a pause at the time that is returned.
func newHarnessWithPause(t *testing.T, d time.Duration) (*harness, time.Duration) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	h.targets["s-0"] = pausesFor(d)
	for i := 0; len(h.sendTimes("s-0")) == 0; i++ {
		h.request("/p/x", time.Second)
		h.run(20 * ms)
		if i > 100 {
			t.Fatal("s-0 got no request")
		}
	}
	return h, h.sendTimes("s-0")[0] + 5*ms
}

// Guards against requests to a target in the time for which it wants nothing, and against all
// requests at once after it.
func TestPausedTargetGetsNoRequest(t *testing.T) {
	const length = 2 * time.Second
	h, from := newHarnessWithPause(t, length)
	h.targets["s-0"] = answersAfter(100 * ms)
	before := len(h.sendTimes("s-0"))
	h.targets["s-1"] = answersAfter(60 * ms) // hedged and queued
	for h.now < from+length-10*ms {
		h.request("/p/x", time.Second)
		h.run(5 * ms)
	}
	if got := len(h.sendTimes("s-0")) - before; got > 0 {
		t.Errorf("got %d attempts at the target during its pause, want none", got)
	}
	h.targets["s-1"] = neverAnswers
	h.run(10 * ms)
	for range 20 {
		h.request("/p/x", time.Second)
	}
	if got := len(h.sendTimes("s-0")) - before; got != 1 {
		t.Errorf("got %d attempts at the target right after its pause, want 1 until it answers", got)
	}
	h.run(300 * ms)
	if got := len(h.sendTimes("s-0")) - before; got < 3 {
		t.Errorf("got %d attempts at the target after its answer, want more", got)
	}
}

// Guards against requests that wait or fail without a time when no target takes any: callers
// are refused at once, and return after the earliest pause in the order of priority.
func TestCallersAreToldWhenThePauseEnds(t *testing.T) {
	h := newHarness(t)
	urgent, other := plainRoute(true), plainRoute(true)
	urgent.Name, urgent.Prefix, urgent.Priority, other.Priority = "urgent", "/u/", 0, 4
	h.publish(1, readyTargets("s", 2), urgent, other)
	h.targets["s-0"], h.targets["s-1"] = pausesFor(5*time.Second), pausesFor(3*time.Second)
	for len(h.sendTimes("s-0")) == 0 || len(h.sendTimes("s-1")) == 0 {
		h.request("/p/x", time.Second)
		h.run(20 * ms)
	}
	end := h.sendTimes("s-1")[0] + 5*ms + 3*time.Second
	delays := make(map[string][2]time.Duration) // the shortest and the longest by path
	for range 50 {
		for _, path := range []string{"/u/x", "/p/x"} {
			a := h.answers[h.request(path, 10*time.Second)]
			if a.Kind != AnswerRefused || h.now+a.RetryAfter < end || h.now+a.RetryAfter > end+time.Second {
				t.Fatalf("got answer %v with Retry-After %v, want a refusal until the pause ends in %v", a.Kind, a.RetryAfter, end-h.now)
			}
			d, seen := delays[path]
			if !seen || a.RetryAfter < d[0] {
				d[0] = a.RetryAfter
			}
			d[1] = max(d[1], a.RetryAfter)
			delays[path] = d
		}
	}
	if delays["/u/x"][1] >= delays["/p/x"][0] || delays["/p/x"][1]-delays["/p/x"][0] < 50*ms {
		t.Errorf("urgent callers return after %v, others after %v; want the urgent ones first and the others apart", delays["/u/x"], delays["/p/x"])
	}
}

// Guards against a pause that outlives the start of the target that asked for it, that is
// shortened, or that has no end.
func TestPauseIsBoundedAndEndsWithANewStart(t *testing.T) {
	h, from := newHarnessWithPause(t, 3*time.Second)
	target := h.g.targets["s-0"]
	h.g.observePause(&attempt{target: target, sentAt: h.now}, AttemptEnded{Outcome: OutcomeShed, Pause: time.Second})
	if target.pause.until != from+3*time.Second {
		t.Errorf("the pause ends at %v, want %v: a shorter one does not end it", target.pause.until, from+3*time.Second)
	}
	h.g.observePause(&attempt{target: target, sentAt: from - 10*ms}, AttemptEnded{Outcome: OutcomeSuccess})
	if target.pause.until <= h.now || !target.pause.returning {
		t.Error("the answer to an earlier attempt has ended the pause")
	}
	h.g.observePause(&attempt{target: target, sentAt: h.now}, AttemptEnded{Outcome: OutcomeShed, Pause: 24 * time.Hour})
	if got := target.pause.until - h.now; got != maxPause {
		t.Errorf("got a pause of %v, want %v", got, maxPause)
	}
	again := readyTargets("s", 1)[0]
	again.StartedAtMillis = 7
	h.targets["s-0"] = answersAfter(ms)
	h.step(StoreRead{Revision: 2, Targets: []Target{again}})
	before := len(h.sendTimes("s-0"))
	for range 30 {
		h.request("/p/x", time.Second)
		h.run(20 * ms)
	}
	if len(h.sendTimes("s-0")) == before {
		t.Error("the target got no request after a new start")
	}
}

// Guards against attempts that this instance sends to a paused target for another instance.
func TestPausedTargetIsRefusedToOtherInstances(t *testing.T) {
	h := newHarness(t)
	h.publish(1, shardTargets(2), gatherRoute(2, 1))
	paused := model.TargetID(fmt.Sprint(shard(0), "-0"))
	h.targets[paused] = pausesFor(time.Second)
	arrive := func(id RequestID) ReplyBatch {
		h.step(BatchArrived{Request: id, Route: "gather", TopK: 3, Targets: []model.TargetID{paused}, At: h.now, Deadline: time.Second, Remaining: time.Second})
		h.run(50 * ms)
		return h.replies[len(h.replies)-1]
	}
	if reply := arrive(900); reply.Ends[0].Refused || reply.Ends[0].End.Outcome != OutcomeShed {
		t.Fatalf("got end %+v, want that of the target", reply.Ends[0])
	}
	if reply := arrive(901); !reply.Ends[0].Refused {
		t.Error("an attempt at a paused target was forwarded")
	}
	h.targets[paused] = answersAfter(ms)
	h.run(time.Second)
	if reply := arrive(902); reply.Ends[0].Refused {
		t.Error("an attempt after the pause was refused")
	}
}
