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

// Guards against a search or booking that does not reach its targets, as own
// lead and by relay.
func TestEndToEnd(t *testing.T) {
	for _, instances := range []int{1, 3} {
		s := newSim(instances, 4, 2, 2, model.PolicyFull)
		s.nodes[0].search(1, callBudget)
		s.run(callBudget)
		a := searchOf(t, s, 1)
		if a.Error != nil || a.Searched != 4 || a.Total != 4 || len(a.Parts) != 4 || a.Snapshot != 7 {
			t.Errorf("%d instances: %+v", instances, a)
		}
		id := s.nodes[0].ids(1)[0]
		s.nodes[len(s.nodes)-1].book(2, id, time.Second)
		s.run(time.Second)
		if b := bookOf(t, s, 2); b.Error != nil || s.ran[id.String()] != 1 {
			t.Errorf("%d instances: %+v ran %d times", instances, b, s.ran[id.String()])
		}
	}
}
