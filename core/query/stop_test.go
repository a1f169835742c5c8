package query

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against calls that are lost in a graceful stop, calls that are accepted
// after its start, and repeats that get a different outcome from the successor
// (design 3.9).
func TestGracefulStop(t *testing.T) {
	s := newSim(3, 1, 2, 2, model.PolicyFull)
	a, b, c := s.nodes[0], s.nodes[1], s.nodes[2]
	ids := a.issueIDs(3)
	a.book(1, ids[0], time.Second)
	s.run(time.Second)
	a.search(2, callBudget)
	a.book(3, ids[1], time.Second)
	a.v.stopping, a.v.successor = true, "c"
	b.v.successors["a"], c.v.successors["a"] = "c", "c"
	a.tick()
	if a.report.Idle {
		t.Error("instance reports idle, want busy until the booking ids are handed over")
	}
	a.search(5, callBudget)
	s.run(time.Second)
	if x := searchAnswerOf(t, s, 2); x.Error != nil || x.Searched != 1 {
		t.Errorf("search in progress: answer %+v, want 1 partition and no error", x)
	}
	if x := searchAnswerOf(t, s, 5); x.Error == nil || x.Error.Kind != model.KindStopping || x.Error.Execution != notRun {
		t.Errorf("new search: error %v, want stopping and not run", x.Error)
	}
	if !a.report.Idle {
		t.Error("instance reports busy, want idle after the stop")
	}
	a.book(6, ids[2], time.Second)
	for _, n := range s.nodes {
		n.v.lostPeers["a"] = true
	}
	a.down = true
	for k, id := range ids {
		b.book(model.CallID(10+k), id, time.Second)
		c.book(model.CallID(20+k), id, time.Second)
	}
	b.book(13, model.BookingID{Owner: "a", Incarnation: 2, Counter: 1}, time.Second)
	s.run(time.Second)
	want := map[model.CallID]model.Execution{
		1: ran, 3: ran, 6: notRun, 10: ran, 11: ran, 12: notRun, 13: unknown, 20: ran, 21: ran, 22: notRun,
	}
	for call, x := range want {
		if got := bookAnswerOf(t, s, call); executionOf(got) != x || got.Repeat != (call > 9 && x == ran) {
			t.Errorf("booking %d: execution %v, Repeat %v; want %v, with Repeat only for a repeated call", call, executionOf(got), got.Repeat, x)
		}
	}
	if s.runsByBooking[ids[0].String()] != 1 || s.runsByBooking[ids[1].String()] != 1 || s.runsByBooking[ids[2].String()] != 0 {
		t.Errorf("runs by booking: %v, want 1 for the first two ids and 0 for the third", s.runsByBooking)
	}
}

// Guards against a successor that answers "not run" for an id although the owner had
// already deleted its record of whether the id was used. The owner keeps this record
// for one more validity time after an id has expired.
func TestHandoverOfExpiredIDs(t *testing.T) {
	s := newSim(2, 1, 2, 2, model.PolicyFull)
	a, b := s.nodes[0], s.nodes[1]
	forgotten := a.issueIDs(1)[0]
	s.run(15 * time.Minute)
	expired := a.issueIDs(2)
	a.book(1, expired[0], time.Second)
	s.run(11 * time.Minute)
	a.issueIDs(1)
	a.v.stopping, a.v.successor = true, "b"
	a.tick()
	s.run(10 * time.Second)
	for k, id := range []model.BookingID{forgotten, expired[0], expired[1]} {
		b.v.lostPeers["a"] = true
		b.book(model.CallID(10+k), id, time.Second)
	}
	for call, x := range map[model.CallID]model.Execution{10: unknown, 11: unknown, 12: notRun} {
		if got := executionOf(bookAnswerOf(t, s, call)); got != x {
			t.Errorf("booking %d: execution %v, want %v", call, got, x)
		}
	}
}

// Guards against outcomes that are lost when a handover is too large for one
// message, or when the successor stops as well.
func TestLargeHandoverToSecondSuccessor(t *testing.T) {
	s := newSim(3, 1, 2, 2, model.PolicyFull)
	a, b, c := s.nodes[0], s.nodes[1], s.nodes[2]
	s.editReplies(func(_ model.SendTarget, r *model.TargetReply) bool {
		r.Answer.Body = make([]byte, maxHandoverBytes/2)
		return true
	})
	ids := append(a.issueIDs(4), a.issueIDs(4)...)
	for k, id := range ids[:6] {
		if k != 3 {
			a.book(model.CallID(k), id, time.Second)
		}
	}
	s.run(time.Second)
	messages := 0
	s.onPeer = func(_ *simNode, m model.SendPeer) bool {
		if isMessage[model.BookingHandover](m.Message) {
			messages++
		}
		return false
	}
	for _, n := range s.nodes {
		n.v.successors["a"] = "c"
	}
	a.v.stopping, a.v.successor = true, "c"
	a.tick()
	s.run(time.Second)
	a.down, c.v.successors["a"], c.v.stopping = true, "b", true
	c.tick()
	s.run(time.Second)
	c.down = true
	for k, id := range ids {
		b.book(model.CallID(10+k), id, time.Second)
		want := ran
		if k == 3 || k > 5 {
			want = notRun
		}
		if x := executionOf(bookAnswerOf(t, s, model.CallID(10+k))); x != want {
			t.Errorf("booking %d: execution %v, want %v", k, x, want)
		}
	}
	if messages != 6 {
		t.Errorf("%d handover messages, want 6: 3 from each of the two instances that stopped", messages)
	}
}
