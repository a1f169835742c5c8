package query

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/view"
)

// newWarmUpSim returns a sim of one instance whose bookings all go to desk-0, a
// target with 4 slots at the given warm-up level.
func newWarmUpSim(level int) (*sim, *simNode, *target) {
	s := newSim(1, 1, 1, 4, model.PolicyFull)
	n := s.nodes[0]
	s.takeOut("desk-1", "desk-2")
	t := &n.e.targets[n.e.targetIndex["desk-0"]]
	t.level = level
	return s, n, t
}

// bookWithReplies makes count bookings at node n, each of which gets reply r.
func (s *sim) bookWithReplies(n *simNode, count int, r model.TargetReply) {
	s.onSend = func(n *simNode, o model.SendTarget) bool {
		s.after(time.Millisecond, func() { s.reply(n, o, r) })
		return true
	}
	for _, id := range n.issueIDs(count) {
		n.book(model.CallID(len(s.answers)+1), id, time.Second)
		s.run(2 * time.Millisecond)
	}
}

// Guards against a warm-up level that rises without completed work or that does not
// fall on a sign of a cold start (design 3.2).
func TestWarmUpLevel(t *testing.T) {
	success := func(latency time.Duration, incarnation model.Incarnation) model.TargetReply {
		return model.TargetReply{Execution: ran, Latency: latency,
			Answer: model.TargetAnswer{Incarnation: incarnation, Load: model.TargetLoad{InFlight: 1}}}
	}
	failure := func(kind model.Kind, reset bool) model.TargetReply {
		return model.TargetReply{Error: kind, Execution: notRun, Reset: reset}
	}
	cases := []struct {
		name  string
		start int
		run   func(s *sim, n *simNode)
		level int
	}{
		{"7 completions", 1, func(s *sim, n *simNode) { s.bookWithReplies(n, 7, success(time.Millisecond, 1)) }, 1},
		{"8 completions", 1, func(s *sim, n *simNode) { s.bookWithReplies(n, 8, success(time.Millisecond, 1)) }, 2},
		{"level does not exceed the slots", 1, func(s *sim, n *simNode) { s.bookWithReplies(n, 60, success(time.Millisecond, 1)) }, 4},
		{"failure ends the streak", 1, func(s *sim, n *simNode) {
			s.bookWithReplies(n, 7, success(time.Millisecond, 1))
			s.bookWithReplies(n, 1, failure(model.KindTargetAnswer, false))
			s.bookWithReplies(n, 7, success(time.Millisecond, 1))
		}, 1},
		{"reset connection", 4, func(s *sim, n *simNode) { s.bookWithReplies(n, 1, failure(model.KindTargetConnection, true)) }, 1},
		{"cancellation keeps the streak", 1, func(s *sim, n *simNode) {
			s.bookWithReplies(n, 7, success(time.Millisecond, 1))
			s.bookWithReplies(n, 1, failure(model.KindCancelled, false))
			s.bookWithReplies(n, 1, success(time.Millisecond, 1))
		}, 2},
		{"shed request", 4, func(s *sim, n *simNode) { s.bookWithReplies(n, 1, failure(model.KindTargetShed, false)) }, 2},
		{"reply from a new incarnation", 4, func(s *sim, n *simNode) { s.bookWithReplies(n, 1, success(time.Millisecond, 2)) }, 1},
		{"replies from an earlier incarnation", 4, func(s *sim, n *simNode) {
			s.bookWithReplies(n, 1, success(time.Millisecond, 2))
			s.bookWithReplies(n, 20, success(time.Millisecond, 1))
		}, 1},
		{"probe report from a new incarnation", 4, func(_ *sim, n *simNode) {
			n.step(model.ProbeReply{Target: "desk-0", OK: true, Report: model.TargetReport{Incarnation: 2}})
		}, 1},
		{"two slow replies are no latency jump", 4, func(s *sim, n *simNode) {
			s.bookWithReplies(n, 2, success(5*time.Millisecond, 1))
			s.bookWithReplies(n, 2, success(30*time.Millisecond, 1))
			s.bookWithReplies(n, 1, success(5*time.Millisecond, 1))
		}, 4},
		{"latency jump", 4, func(s *sim, n *simNode) {
			s.bookWithReplies(n, 2, success(5*time.Millisecond, 1))
			s.bookWithReplies(n, 3, success(30*time.Millisecond, 1))
		}, 1},
		{"latency jump to less than 20 ms", 4, func(s *sim, n *simNode) {
			s.bookWithReplies(n, 2, success(time.Millisecond, 1))
			s.bookWithReplies(n, 3, success(15*time.Millisecond, 1))
		}, 4},
		{"reported level without completions", 1, func(_ *sim, n *simNode) {
			for range 20 {
				n.step(model.ProbeReply{Target: "desk-0", OK: true, Report: model.TargetReport{Incarnation: 1}})
				n.v.info["desk-0"] = view.TargetInfo{Known: true, Incarnation: 1, Level: 4}
				n.change("desk-0")
			}
		}, 1},
		{"probe report from an earlier incarnation", 4, func(s *sim, n *simNode) {
			s.bookWithReplies(n, 1, success(time.Millisecond, 2))
			n.step(model.ProbeReply{Target: "desk-0", OK: true, Report: model.TargetReport{Incarnation: 1}})
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, n, target := newWarmUpSim(tc.start)
			tc.run(s, n)
			if target.level != tc.level {
				t.Errorf("level %d, want %d", target.level, tc.level)
			}
		})
	}
}

// Guards against more work at a target than its slots while another instance also
// acts as the target's lead (design 3.1).
func TestForeignWork(t *testing.T) {
	s, n, target := newWarmUpSim(4)
	s.bookWithReplies(n, 1, model.TargetReply{Execution: ran, Latency: time.Millisecond,
		Answer: model.TargetAnswer{Incarnation: 1, Load: model.TargetLoad{InFlight: 4}}})
	if target.allowedInFlight() != 1 {
		t.Errorf("allowed in flight = %d with 3 foreign requests at 4 slots, want 1", target.allowedInFlight())
	}
}

// Guards against a warm-up level that is lost in a handover, a level taken over from
// another incarnation of the target, and a target reported as drained while work is
// in flight there.
func TestLeadHandover(t *testing.T) {
	s := newSim(2, 1, 1, 4, model.PolicyFull)
	a, b := s.nodes[0], s.nodes[1]
	s.takeOut("desk-1", "desk-2")
	for _, n := range s.nodes {
		n.v.leads["desk-0"] = "a"
		n.change("desk-0")
	}
	s.targets["desk-0"].serviceTime = 50 * time.Millisecond
	a.book(1, a.issueIDs(1)[0], time.Second)
	for _, n := range s.nodes {
		n.v.leads["desk-0"] = "b"
		n.change("desk-0")
	}
	if len(a.drained) != 0 {
		t.Error("target was reported as drained, want no report with work in flight")
	}
	s.run(51 * time.Millisecond)
	if len(a.drained) != 1 || a.drained[0] != (view.DrainedTarget{Target: "desk-0", Incarnation: 1, Level: 4}) {
		t.Errorf("drained = %+v, want desk-0 at incarnation 1 and level 4", a.drained)
	}
	levelAfterRelease := func(r model.ReleasedTarget) int {
		b.v.leads["desk-0"] = "a"
		b.change("desk-0")
		b.v.info["desk-0"] = view.TargetInfo{Known: true, Incarnation: 1}
		b.v.leads["desk-0"] = "b"
		b.change("desk-0")
		b.step(model.PeerInput{From: "a", Incarnation: 1, Message: model.LeadRelease{Targets: []model.ReleasedTarget{r}}})
		return b.e.targets[b.e.targetIndex["desk-0"]].level
	}
	if l := levelAfterRelease(model.ReleasedTarget{Target: "desk-0", Incarnation: 1, Level: 3}); l != 3 {
		t.Errorf("level %d after a release at level 3, want 3", l)
	}
	if l := levelAfterRelease(model.ReleasedTarget{Target: "desk-0", Incarnation: 2, Level: 3}); l != 1 {
		t.Errorf("level %d after a release for another incarnation, want 1", l)
	}
	if l := levelAfterRelease(model.ReleasedTarget{Target: "desk-0", Incarnation: 1, Level: 9}); l != 4 {
		t.Errorf("level %d after a release above the slots, want 4", l)
	}
}

// Guards against more work at a target than its level after a cancellation. The
// target learns of the cancellation one link delay later, so new work can overtake
// the cancellation.
func TestCancelledWorkKeepsSlot(t *testing.T) {
	const linkDelay = 4500 * time.Microsecond // one way between data centres
	s, n, _ := newWarmUpSim(1)
	var sent []time.Duration
	s.onSend = func(n *simNode, o model.SendTarget) bool {
		sent = append(sent, s.now)
		r := model.TargetReply{Error: model.KindCancelled, Execution: unknown}
		if len(sent) > 1 {
			r = model.TargetReply{Error: model.KindTargetShed, Execution: notRun}
		}
		s.after(time.Millisecond, func() { s.reply(n, o, r) })
		return true
	}
	for k, id := range n.issueIDs(3) {
		n.book(model.CallID(k+1), id, time.Second)
	}
	s.run(100 * time.Millisecond)
	if len(sent) != 3 {
		t.Fatalf("%d sends, want 3", len(sent))
	}
	if gap := sent[1] - sent[0]; gap < time.Millisecond+linkDelay {
		t.Errorf("work sent %v after cancelled work, want at least %v", gap, time.Millisecond+linkDelay)
	}
	if gap := sent[2] - sent[1]; gap >= linkDelay {
		t.Errorf("work sent %v after a refusal, want no delay", gap)
	}
}

// Guards against a wake-up time in the past, which causes an endless loop of ticks.
// It could come from slots that become free while the lead cannot send.
func TestWakeAfterSettling(t *testing.T) {
	s, n, target := newWarmUpSim(4)
	target.settlingUntil = append(target.settlingUntil, s.now+time.Millisecond)
	n.v.inactive["desk-0"] = true
	n.change("desk-0")
	n.book(1, n.issueIDs(1)[0], time.Second)
	s.now += 5 * time.Millisecond
	n.tick()
	if w := n.e.NextWake(); w <= s.now {
		t.Errorf("next wake-up at %v, want after the current time %v", w, s.now)
	}
}
