package trace

import (
	"strings"
	"testing"
	"time"

	"galenadyke.dev/core/model"
)

// Guards against an invalid statement that is accepted and checks nothing.
func TestParseOutcomeRejectsInvalidStatements(t *testing.T) {
	for _, line := range []string{
		"", "# only a comment", "answers call 3 ran", "answer call x ran", "answer call 3", "answer call 3 done",
		"answer call 3 not_run NoSuchKind", "answer call 3 not_run Kind999", "answer call 3 ran coverage", "answer call 3 ran coverage 1/2 more",
		"never", "never Sent", "never SendTarget target", "never SendTarget colour red", "never SendTarget name x",
		"some SendPeer message Hello", "never SendTarget after soon", "once Stopped before -1s",
	} {
		if _, err := ParseOutcome(strings.NewReader(line)); err == nil {
			t.Errorf("ParseOutcome(%q): got no error, want one", line)
		}
	}
}

// Guards against statements whose result does not depend on the outputs.
func TestOutcomeStatements(t *testing.T) {
	refused := &model.Error{Kind: model.KindTargetOut, Execution: model.NotRun}
	outputs := []model.Output{
		model.BookAnswer{Call: 3, Error: refused},
		model.SearchAnswer{Call: 4, Searched: 4, Total: 6},
		model.SendTarget{Target: "a", BookingID: "i.1.2", Snapshot: 7},
		model.SendPeer{To: "j", Message: model.LeadRelease{}},
		model.Event{Name: "LeadState", Subject: "a", After: "active"},
		model.Event{Name: "LeadState", Subject: "b", After: "active"},
	}
	// Whether each statement holds for outputs at 2 s.
	for line, want := range map[string]bool{
		"answer call 3 not_run TargetOut": true, "answer call 3 not_run": true, "answer call 3 not_run NotLead": false,
		"answer call 3 ran": false, "answer call 4 ran coverage 4/6": true, "answer call 4 ran coverage 6/6": false,
		"answer call 5 ran": false, "once SendTarget target a booking i.1.2 snapshot 7": true,
		"never SendTarget target a": false, "never SendTarget target a after 3s": true, "never SendTarget before 1s": true,
		"never SendTarget target b": true, "some SendPeer to j message LeadRelease": true,
		"some SendPeer message RelayReply": false, "once Event name LeadState": false,
		"once Event name LeadState subject b value active": true, "some Event after 1s before 3s": true,
	} {
		o, err := ParseOutcome(strings.NewReader("# comment\n\n" + line))
		if err != nil {
			t.Fatal(err)
		}
		o.Observe(2*time.Second, outputs)
		if got := o.Failures(); len(got) == 0 != want {
			t.Errorf("%q: got failures %v, want the statement to hold: %v", line, got, want)
		}
	}
	outcome, _ := ParseOutcome(strings.NewReader("answer call 3 not_run"))
	outcome.Observe(0, outputs)
	outcome.Observe(0, outputs)
	if len(outcome.Failures()) == 0 {
		t.Error("a call with two answers: got no failure, want one")
	}
}
