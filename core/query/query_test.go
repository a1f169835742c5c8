package query

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

const callBudget = 140 * time.Millisecond

func searchOf(t *testing.T, s *sim, c model.CallID) model.SearchAnswer {
	t.Helper()
	if n := len(s.answers[c]); n != 1 {
		t.Fatalf("call %d got %d answers, want 1", c, n)
	}
	return s.answers[c][0].(model.SearchAnswer)
}

func bookOf(t *testing.T, s *sim, c model.CallID) model.BookAnswer {
	t.Helper()
	if n := len(s.answers[c]); n != 1 {
		t.Fatalf("call %d got %d answers, want 1", c, n)
	}
	return s.answers[c][0].(model.BookAnswer)
}

// Guards against outcomes for an earlier life that end the work of this one,
// and against work ids that repeat after a restart.
func TestRestartedEntry(t *testing.T) {
	s := newSim(2, 2, 2, 2, model.PolicyFull)
	var late []func()
	works := map[model.WorkID]bool{}
	s.onSend = func(_ *simNode, o model.SendTarget) bool {
		if works[o.Work] {
			t.Errorf("work id %d repeats", o.Work)
		}
		works[o.Work] = true
		return false
	}
	s.onPeer = func(n *simNode, m model.SendPeer) bool {
		r, ok := m.Message.(model.RelayReply)
		if ok && len(late) == 0 {
			r.Items[0].Error = model.KindTargetShed
			m.Message = r
			late = append(late, func() { s.deliver(n, m) })
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
	late[0]()
	s.run(time.Second)
	if x := searchOf(t, s, 2); x.Searched != 2 || x.Stats.Retries > 0 {
		t.Errorf("%+v", x)
	}
}

// Guards against more retries than their share of the sub-requests when every
// target refuses.
func TestRetryBudget(t *testing.T) {
	s := newSim(1, 10, 2, 2, model.PolicyFull)
	s.edit(func(_ model.SendTarget, r *model.TargetReply) bool {
		*r = model.TargetReply{Error: model.KindTargetShed, Execution: notRun}
		return true
	})
	sum := model.CallStats{}
	for k := range 100 {
		s.nodes[0].search(model.CallID(k), callBudget)
		s.run(30 * time.Millisecond)
		x := searchOf(t, s, model.CallID(k)).Stats
		sum.SubRequests, sum.Retries = sum.SubRequests+x.SubRequests, sum.Retries+x.Retries
	}
	if limit := sum.SubRequests/10 + retryBurst; sum.Retries < retryBurst || sum.Retries > limit {
		t.Errorf("%d retries of %d sub-requests, at most %d allowed", sum.Retries, sum.SubRequests, limit)
	}
}
