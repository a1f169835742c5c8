package query

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

const callBudget = 140 * time.Millisecond

func searchAnswerOf(t *testing.T, s *sim, c model.CallID) model.SearchAnswer {
	t.Helper()
	if n := len(s.answers[c]); n != 1 {
		t.Fatalf("call %d got %d answers, want 1", c, n)
	}
	return s.answers[c][0].(model.SearchAnswer)
}

func bookAnswerOf(t *testing.T, s *sim, c model.CallID) model.BookAnswer {
	t.Helper()
	if n := len(s.answers[c]); n != 1 {
		t.Fatalf("call %d got %d answers, want 1", c, n)
	}
	return s.answers[c][0].(model.BookAnswer)
}

// Guards against relay replies to an earlier incarnation of the entry instance that
// end attempts of the present one, and against work ids that repeat after a
// restart.
func TestEntryRestart(t *testing.T) {
	s := newSim(2, 2, 2, 2, model.PolicyFull)
	var heldReplies []func()
	seenWorks := map[model.WorkID]bool{}
	s.onSend = func(_ *simNode, o model.SendTarget) bool {
		if seenWorks[o.Work] {
			t.Errorf("work id %d was used twice, want unique ids", o.Work)
		}
		seenWorks[o.Work] = true
		return false
	}
	s.onPeer = func(n *simNode, m model.SendPeer) bool {
		r, ok := m.Message.(model.RelayReply)
		if ok && len(heldReplies) == 0 {
			r.Items[0].Error = model.KindTargetShed
			m.Message = r
			heldReplies = append(heldReplies, func() { s.deliver(n, m) })
			return true
		}
		return false
	}
	s.nodes[0].search(1, callBudget)
	s.run(20 * time.Millisecond)
	s.nodes[0].down = true
	a := s.addNode("a", 2, model.PolicyFull)
	a.v.leads = s.nodes[0].v.leads
	a.tick()
	a.search(2, callBudget)
	heldReplies[0]()
	s.run(time.Second)
	if x := searchAnswerOf(t, s, 2); x.Searched != 2 || x.Stats.Retries > 0 {
		t.Errorf("answer %+v, want 2 partitions without retries", x)
	}
}

// Guards against retries above their share of the sub-requests when every target
// refuses.
func TestRetryBudget(t *testing.T) {
	s := newSim(1, 10, 2, 2, model.PolicyFull)
	s.editReplies(func(_ model.SendTarget, r *model.TargetReply) bool {
		*r = model.TargetReply{Error: model.KindTargetShed, Execution: notRun}
		return true
	})
	sum := model.CallStats{}
	for k := range 100 {
		s.nodes[0].search(model.CallID(k), callBudget)
		s.run(30 * time.Millisecond)
		x := searchAnswerOf(t, s, model.CallID(k)).Stats
		sum.SubRequests, sum.Retries = sum.SubRequests+x.SubRequests, sum.Retries+x.Retries
	}
	if limit := sum.SubRequests/10 + retryBurst; sum.Retries < retryBurst || sum.Retries > limit {
		t.Errorf("%d retries of %d sub-requests, want at least the burst and at most %d", sum.Retries, sum.SubRequests, limit)
	}
}

// Guards against calls that are admitted in breach of a limit, and against refusals
// with the wrong error kind or an execution other than "not run" (design 3.4).
func TestRefusals(t *testing.T) {
	s := newSim(1, 1, 1, 1, model.PolicyFull)
	n := s.nodes[0]
	n.e.limits.MaxInFlight = 2
	n.search(101, callBudget)
	id := n.issueIDs(1)[0]
	// Call 101 is in progress. Call 102 is admitted and fills the limit, so that
	// call 10 is refused.
	cases := []struct {
		in   model.Input
		kind model.Kind // KindNone if the call is admitted
	}{
		{model.SearchCall{Call: 1, Route: "search"}, model.KindNoDeadline},
		{model.SearchCall{Call: 2, Route: "search", Budget: time.Hour}, model.KindDeadlineTooLong},
		{model.SearchCall{Call: 3, Route: "search", Budget: callBudget, Body: make([]byte, 64<<10+1)}, model.KindBodyTooLarge},
		{model.SearchCall{Call: 4, Route: "none", Budget: callBudget}, model.KindNoRoute},
		{model.SearchCall{Call: 5, Route: "book", Budget: callBudget}, model.KindWrongRouteKind},
		{model.BookCall{Call: 6, Route: "book", Budget: callBudget}, model.KindBadBookingID},
		{model.BookCall{Call: 7, Route: "search", Booking: id, Budget: callBudget}, model.KindWrongRouteKind},
		{model.IssueBookingIDs{Call: 8, Count: 0}, model.KindBadRequest},
		{model.IssueBookingIDs{Call: 9, Count: maxIDsPerCall + 1}, model.KindBadRequest},
		{model.SearchCall{Call: 102, Route: "search", Budget: callBudget}, model.KindNone},
		{model.SearchCall{Call: 10, Route: "search", Budget: callBudget}, model.KindTooManyCalls},
	}
	for k, tc := range cases {
		n.step(tc.in)
		if tc.kind == model.KindNone {
			continue
		}
		var err *model.Error
		switch a := s.answers[model.CallID(min(k+1, 10))][0].(type) {
		case model.SearchAnswer:
			err = a.Error
		case model.BookAnswer:
			err = a.Error
		case model.BookingIDs:
			err = a.Error
		}
		if err == nil || err.Kind != tc.kind || err.Execution != notRun || err.Message == "" {
			t.Errorf("%+v: error %v, want kind %v, not run, with a message", tc.in, err, tc.kind)
		}
	}
}

// Guards against booking ids that are issued without end and take the memory of the instance,
// and against ids that are never issued again.
func TestIssuedBookingIDsAreBounded(t *testing.T) {
	s := newSim(1, 1, 1, 1, model.PolicyFull)
	n := s.nodes[0]
	const call = model.CallID(7)
	issue := func(count int) *model.Error {
		delete(s.answers, call)
		n.step(model.IssueBookingIDs{Call: call, Count: count})
		return s.answers[call][0].(model.BookingIDs).Error
	}
	issued := 0
	for issued < 2*maxBatchBytes && issue(maxIDsPerCall) == nil {
		issued += batchBytes(maxIDsPerCall)
	}
	if err := issue(maxIDsPerCall); err == nil || err.Kind != model.KindTooManyCalls || err.Execution != notRun {
		t.Errorf("got error %v after %d bytes, want too many calls, not run", err, issued)
	}
	if n.e.ledger.bytes > maxBatchBytes {
		t.Errorf("got %d bytes, want at most %d", n.e.ledger.bytes, maxBatchBytes)
	}
	s.run(2*n.e.limits.ReservationTTL + time.Minute)
	if err := issue(1); err != nil || n.e.ledger.bytes != batchBytes(1) {
		t.Errorf("after the ids have been forgotten: got error %v, %d bytes, want one batch", err, n.e.ledger.bytes)
	}
}

// Guards against searches that miss groups when many targets change their lead or
// are taken out at once: retries after refusals by instances of the tier must not
// use up the retry budget.
func TestTierRefusalsKeepRetryBudget(t *testing.T) {
	s := newSim(3, 20, 2, 2, model.PolicyFull)
	a := s.nodes[0]
	for k := range 10 {
		a.search(model.CallID(k), callBudget)
	}
	s.run(time.Millisecond)
	for id := range s.targets {
		for _, n := range s.nodes {
			n.v.takenOut[id] = n.id != "a" && id[len(id)-1] == '0' // a has not seen the change yet
			n.v.leads[id] = "c"
			n.changes.Targets = append(n.changes.Targets, id)
		}
	}
	for _, n := range s.nodes {
		n.change(n.changes.Targets...)
	}
	for k := range 10 {
		a.search(model.CallID(10+k), callBudget)
	}
	s.run(time.Second)
	for k := range 20 {
		if x := searchAnswerOf(t, s, model.CallID(k)); x.Searched != 20 {
			t.Errorf("search %d: answer %+v, want 20 partitions", k, x)
		}
	}
}
