package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against requests to a target that has left, because the store did an old write of its
// entry after the removal, or because its entry that drains is replaced by an old one.
func TestLateWriteDoesNotReturnADepartedTarget(t *testing.T) {
	for name, c := range map[string]struct {
		before []Target // reads of s-0's entry before its removal
		keep   bool     // the entry is not removed
		late   int64    // report of the late write
	}{
		"removed, earlier report":            {nil, false, 15},
		"removed, last report":               {nil, false, 20},
		"drained and removed, earlier":       {[]Target{{Report: 21, State: TargetDraining}}, false, 20},
		"drained and removed, last report":   {[]Target{{Report: 21, State: TargetDraining}}, false, 21},
		"drains, earlier report":             {[]Target{{Report: 21, State: TargetDraining}}, true, 20},
		"drains after some reports, earlier": {[]Target{{Report: 21}, {Report: 24, State: TargetDraining}}, true, 23},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newHarnessBeforeRestore(t)
			revision := uint64(50)
			read := func(in StoreRead) {
				revision++
				in.Era, in.Revision = 1, revision
				h.step(in)
			}
			for _, b := range c.before {
				read(StoreRead{Targets: []Target{withReport(targets[0], b.Report, b.State)}})
			}
			if !c.keep {
				read(StoreRead{Removed: []model.TargetID{"s-0"}})
			}
			h.run(2 * time.Second)
			read(StoreRead{Targets: []Target{withReport(targets[0], c.late, TargetReady)}})
			if used := h.usedTargets(); used["s-0"] || !used["s-1"] {
				t.Errorf("got requests to %v, want none to s-0", used)
			}
			// A complete read has the same old entry.
			read(StoreRead{Complete: true, Targets: []Target{withReport(targets[0], c.late, TargetReady), targets[1], targets[2]}})
			if used := h.usedTargets(); used["s-0"] || !used["s-1"] {
				t.Errorf("after a complete read got requests to %v, want none to s-0", used)
			}
		})
	}
}

// Guards against a live target that is not used because an earlier entry of it was removed: it
// registers again with a later report, or starts again under its ID.
func TestTargetThatRegistersAgainIsUsed(t *testing.T) {
	for name, again := range map[string]Target{
		"later report":      {StartedAtMillis: 1000, Report: 21},
		"later incarnation": {StartedAtMillis: 1001, Report: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newHarnessBeforeRestore(t)
			h.step(StoreRead{Era: 1, Revision: 51, Removed: []model.TargetID{"s-0"}})
			h.run(3 * lapseGrace)
			h.step(StoreRead{Era: 1, Revision: 52, Targets: []Target{withReport(targets[0], 15, TargetReady)}})
			entry := targets[0]
			entry.StartedAtMillis, entry.Report = again.StartedAtMillis, again.Report
			h.step(StoreRead{Era: 1, Revision: 53, Targets: []Target{entry}})
			if used := h.usedTargets(); !used["s-0"] {
				t.Error("a target that registered again got no request")
			}
		})
	}
}

// Guards against an instance that uses a target which has left, because it started after the
// removal and found the entry that a late write brought back.
func TestStartingInstanceLearnsOfDepartures(t *testing.T) {
	veteran, targets := newHarnessBeforeRestore(t)
	veteran.g.cfg.Self = "veteran"
	veteran.step(StoreRead{Era: 1, Revision: 51, Targets: []Target{withReport(targets[0], 24, TargetReady)}})
	veteran.step(StoreRead{Era: 1, Revision: 52, Removed: []model.TargetID{"s-0"}})
	veteran.run(2 * time.Second)

	for name, entryFirst := range map[string]bool{"entry read before the news": true, "news before the entry": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Seeds = []string{"10.0.1.1:7000"} })
			if len(h.states) == 0 || !h.states[0].State.WantsDepartures {
				t.Fatal("the first state message does not ask for departures")
			}
			start := func() {
				h.publish(1, targets, plainRoute(true))
				h.step(StoreRead{Era: 1, Revision: 53, Complete: true, Targets: []Target{withReport(targets[0], 22, TargetReady), targets[1], targets[2]}})
			}
			if entryFirst {
				start()
			}
			answers := len(veteran.states)
			veteran.step(StateReceived{State: h.states[0].State})
			for _, answer := range veteran.states[answers:] {
				h.step(StateReceived{State: answer.State})
			}
			if !entryFirst {
				start()
			}
			if used := h.usedTargets(); used["s-0"] || !used["s-1"] {
				t.Errorf("got requests to %v, want none to s-0", used)
			}
			h.step(StoreRead{Era: 1, Revision: 54, Targets: []Target{withReport(targets[0], 25, TargetReady)}})
			if used := h.usedTargets(); !used["s-0"] {
				t.Error("the target got no request after a later report")
			}
		})
	}
}

// Guards against a live target that other instances count as departed, as its entry had lapsed,
// and that this instance has since seen register again.
func TestNewsOfADepartureDoesNotEndALaterReport(t *testing.T) {
	h, targets := newHarnessBeforeRestore(t)
	for _, n := range []Departure{
		{Target: "s-0", StartedAtMillis: 1000, Report: 19},
		{Target: "s-1", StartedAtMillis: 999, Report: 400},
		{Target: "s-2", StartedAtMillis: 1000, Report: 20, Age: departureMemory + time.Second},
	} {
		h.step(StateReceived{State: StateMessage{Sender: otherMember(0), Departures: []Departure{n}}})
	}
	if used := h.usedTargets(); len(used) != len(targets) {
		t.Errorf("got requests to %v, want some to all %d targets", used, len(targets))
	}
}

// Guards against a live target that is never used again: its entry lapsed and was brought back
// by a late write, and the store shows no change when the target renews it.
func TestIgnoredEntryThatStaysListedIsUsed(t *testing.T) {
	for name, c := range map[string]struct {
		removedAgain, storeLost bool
		want                    bool
	}{
		"renewed":                      {want: true},
		"lapsed again":                 {removedAgain: true},
		"the store was lost meanwhile": {storeLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newHarnessBeforeRestore(t)
			h.step(StoreRead{Era: 1, Revision: 51, Removed: []model.TargetID{"s-0"}})
			h.step(StoreRead{Era: 1, Revision: 52, Targets: []Target{withReport(targets[0], 15, TargetReady)}})
			h.run(3 * time.Second)
			if c.removedAgain {
				h.step(StoreRead{Era: 1, Revision: 53, Removed: []model.TargetID{"s-0"}})
			}
			if c.storeLost {
				h.step(StoreFailed{Cause: "refused"})
				h.run(unrenewedEntryTime)
				h.step(StoreAnswered{})
			}
			h.run(unrenewedEntryTime - 4*time.Second)
			if used := h.usedTargets(); used["s-0"] {
				t.Error("the entry was used before it would have lapsed")
			}
			h.run(time.Second)
			if used := h.usedTargets(); used["s-0"] != c.want {
				t.Errorf("got requests to the target: %v, want %v", used["s-0"], c.want)
			}
		})
	}
}

// Guards against messages that the receiver refuses as too long, when many targets have left.
func TestDeparturesAreSentInSeveralMessages(t *testing.T) {
	h := newHarness(t)
	var targets []Target
	for i := range 2 * maxSentDepartures {
		target := readyTargets("s", 1)[0]
		target.ID, target.StartedAtMillis, target.Report = model.TargetID(fmt.Sprintf("i-%020d", i)), 1<<41, 1<<20
		targets = append(targets, target)
	}
	h.publish(1, targets, plainRoute(true))
	h.step(StoreRead{Revision: 2, Complete: true})
	before := len(h.states)
	h.step(StateReceived{State: StateMessage{Sender: otherMember(0), WantsDepartures: true}})
	sent := make(map[model.TargetID]bool)
	for _, message := range h.states[before:] {
		bytes := 0
		for _, d := range message.State.Departures {
			sent[d.Target] = true
			bytes += len(d.Target) + departureBytes
		}
		if bytes > maxDeparturesBytes {
			t.Errorf("got a message with %d bytes of departures, want at most %d", bytes, maxDeparturesBytes)
		}
	}
	if len(sent) != maxSentDepartures {
		t.Errorf("got %d departures, want %d", len(sent), maxSentDepartures)
	}
}

// leavesAfter returns a target that answers with success after d and states that it leaves.
func leavesAfter(d time.Duration) targetBehaviour {
	return func(s SendAttempt) (time.Duration, AttemptEnded) {
		after, end := answersAfter(d)(s)
		end.Leaving = true
		return after, end
	}
}

// Guards against requests to a target that has stated in an answer that it leaves: while its
// entry is still ready, when a report that was on its way arrives, and after the entry's removal.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for name, outcome := range map[string]Outcome{"success": OutcomeSuccess, "failure": OutcomeFailure, "shed": OutcomeShed, "rejected": OutcomeRejected} {
		t.Run(name, func(t *testing.T) {
			h, targets := newHarnessBeforeRestore(t)
			h.targets["s-0"] = func(SendAttempt) (time.Duration, AttemptEnded) {
				return 10 * ms, AttemptEnded{Outcome: outcome, Status: 200, Reused: true, Leaving: true}
			}
			if used := h.usedTargets(); !used["s-0"] {
				t.Fatal("the target got no request, so the test shows nothing")
			}
			check := func(when string, want bool) {
				t.Helper()
				if used := h.usedTargets(); used["s-0"] != want || !used["s-1"] {
					t.Errorf("%s: got requests to %v, want some to s-1, and to s-0: %v", when, used, want)
				}
			}
			check("after the answer", false)
			h.step(StoreRead{Era: 1, Revision: 51, Targets: []Target{withReport(targets[0], 25, TargetReady)}})
			check("after a later report", false)
			h.step(StoreRead{Era: 1, Revision: 52, Removed: []model.TargetID{"s-0"}})
			h.step(StoreRead{Era: 1, Revision: 53, Targets: []Target{withReport(targets[0], 30, TargetReady)}})
			check("after its removal and a later report", false)
			h.run(2 * unrenewedEntryTime)
			check("while the entry stays listed", false)
			again := targets[0]
			again.StartedAtMillis++
			h.targets["s-0"] = answersAfter(10 * ms)
			h.step(StoreRead{Era: 1, Revision: 54, Targets: []Target{again}})
			check("after a new start", true)
		})
	}
}

// Guards against hedges, retries and queued requests that reach a target after it has stated
// that it leaves.
func TestLeavingTargetGetsNoHedgeRetryOrQueuedRequest(t *testing.T) {
	h := newHarness(t)
	h.publish(1, readyTargets("s", 2), plainRoute(true))
	h.targets["s-0"], h.targets["s-1"] = leavesAfter(10*ms), answersAfter(10*ms)
	for id := model.TargetID(""); id != "s-0"; {
		sent := len(h.sent)
		h.request("/p/x", time.Second)
		h.run(20 * ms)
		id = h.sent[sent].Target
	}
	h.g.service("s").limits.MaxConnections = 6 // one for this instance
	for name, behaviour := range map[string]targetBehaviour{"hedge": answersAfter(300 * ms), "retry": endsAfter(ms, OutcomeShed), "queue": answersAfter(30 * ms)} {
		h.targets["s-1"] = behaviour
		sent := len(h.sent)
		for range 5 {
			h.request("/p/x", time.Second)
		}
		h.run(2 * time.Second)
		for _, s := range h.sent[sent:] {
			if s.Target == "s-0" {
				t.Errorf("%s: the leaving target got an attempt", name)
			}
		}
	}
	// When all targets leave, callers are told at once.
	h.targets["s-1"] = leavesAfter(10 * ms)
	h.request("/p/x", time.Second)
	h.run(20 * ms)
	id := h.request("/p/x", time.Second)
	if a := h.answers[id]; a.Kind != AnswerRefused || h.answeredAt[id] != h.now {
		t.Errorf("got answer %v, want a refusal at once as all targets leave", a.Kind)
	}
}

// Guards against a leaving target that is used through a forwarder, or by the forwarder.
func TestLeavingTargetIsKnownThroughAForwarder(t *testing.T) {
	h := newHarnessWithForwarder(t, 4, 1)
	h.delegatedRequest()
	b := h.batches[0]
	reply := BatchReplied{Batch: b.Batch, Records: record(1)}
	for i := range 4 {
		end := succeeded(i, fmt.Sprint("stamp", i))
		end.End.Leaving = i == 2
		reply.Ends = append(reply.Ends, end)
	}
	h.step(reply, BatchEnded{Batch: b.Batch, Outcome: OutcomeSuccess})
	leaving := b.Targets[2]
	sent := len(h.sent)
	h.delegatedRequest()
	h.run(time.Second)
	for _, s := range h.sent[sent:] {
		if s.Target == leaving {
			t.Error("the leaving target got a direct attempt")
		}
	}
	for _, later := range h.batches[1:] {
		if slices.Contains(later.Targets, leaving) {
			t.Error("the leaving target is in a later batch")
		}
	}
	replies := len(h.replies)
	h.step(BatchArrived{Request: 900, Route: "gather", TopK: 3, Targets: []model.TargetID{leaving}, At: h.now, Deadline: time.Second, Remaining: time.Second})
	if len(h.replies) != replies+1 || !h.replies[replies].Ends[0].Refused {
		t.Error("an attempt at the leaving target was forwarded for another instance, want it refused")
	}
}

// Guards against an instance that uses a target which had stated that it leaves, because it
// started afterwards and finds a later report.
func TestStartingInstanceLearnsOfLeavingTargets(t *testing.T) {
	h, targets := newHarnessBeforeRestore(t)
	h.step(StateReceived{State: StateMessage{Sender: otherMember(0), Departures: []Departure{{Target: "s-0", StartedAtMillis: 1000, Report: 12, Leaving: true}}}})
	if used := h.usedTargets(); used["s-0"] || !used["s-1"] {
		t.Errorf("got requests to %v, want none to s-0", used)
	}
	again := targets[0]
	again.StartedAtMillis = 1001
	h.step(StoreRead{Era: 1, Revision: 51, Targets: []Target{again}})
	if used := h.usedTargets(); !used["s-0"] {
		t.Error("the target got no request after a new start")
	}
}
