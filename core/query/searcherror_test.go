package query

import (
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against the answer "not run" for a search that ends before the outcome of
// a sub-request, which was sent to a lead or target, is known.
func TestSearchErrorExecution(t *testing.T) {
	cases := []struct {
		name  string
		lead  model.InstanceID
		slots int // 0 if the lead is in handover, so that the work stays queued
		want  model.Execution
	}{
		{"at the lead", "b", 1, unknown},
		{"at the target", "a", 1, unknown},
		{"in the queue", "a", 0, notRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(2, 1, 1, 1, model.PolicyFull)
			for _, n := range s.nodes {
				n.v.leads["g00-0"] = tc.lead
				n.v.inactive["g00-0"] = tc.slots == 0
				n.change("g00-0")
			}
			s.onSend = func(*simNode, model.SendTarget) bool { return true }
			s.node("a").search(1, 100*time.Millisecond)
			s.run(time.Second)
			a := s.answers[1][0].(model.SearchAnswer)
			if a.Error == nil || a.Error.Kind != model.KindDeadline || a.Error.Execution != tc.want {
				t.Errorf("error %+v, want kind Deadline and execution %v", a.Error, tc.want)
			}
		})
	}
}
