package replay

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/core/engine"
	"galenadyke.dev/core/model"
	"galenadyke.dev/core/trace"
	"galenadyke.dev/ctl/command"
)

// recordTrace returns the trace of an instance that has no configuration.
func recordTrace(t *testing.T) string {
	var buf bytes.Buffer
	cfg := model.CoreConfig{Self: "i0", Incarnation: 1, Place: "dc0", Seed: 1, Policy: model.PolicyFull}
	w, err := trace.NewWriter(&buf, trace.Header{Config: cfg, Outputs: true})
	e := engine.New(cfg)
	for i, in := range []model.Input{
		model.InstanceList{OK: true, Instances: []model.InstanceInfo{{ID: "i0", Place: "dc0"}}},
		model.SearchCall{Call: 1, Route: "r", Budget: time.Second},
		model.BookCall{Call: 2, Route: "r", Budget: time.Second, Booking: model.BookingID{Owner: "i0", Incarnation: 1, Counter: 1}},
	} {
		now := model.Now{Mono: time.Duration(i) * time.Second, Boot: time.Duration(i) * time.Second}
		e.Step(in)
		record := trace.Record{Mono: now.Mono, Boot: now.Boot, Inputs: []model.Input{in}, Outputs: e.Tick(now)}
		err = errors.Join(err, w.Write(record))
	}
	if err != nil {
		t.Fatal(err)
	}
	return buf.String()
}

// run runs the command and returns its exit code and all its output.
func run(args ...string) (int, string) {
	var out, errs bytes.Buffer
	env := command.Environment{Stdout: &out, Stderr: &errs}
	code := command.Run(context.Background(), env, append([]string{"replay"}, args...), NewCommand(env))
	return code, out.String() + errs.String()
}

// Guards against an exit code from which a script would take another result.
func TestExitCodes(t *testing.T) {
	raw := recordTrace(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	equal := write("equal", raw)
	changed := write("changed", strings.Replace(raw, `"Kind":201`, `"Kind":202`, 1))
	dropped := write("dropped", strings.Replace(raw, `"dropped":0`, `"dropped":9`, 1))
	withoutOutputs := write("inputs", strings.Replace(raw, `"dropped":0,"outputs":true`, `"dropped":0`, 1))
	outcome, wrongOutcome := write("outcome", "answer call 1 not_run NotReady"), write("wrong", "answer call 1 ran")
	cases := []struct {
		args []string
		code int
		text string
	}{
		{[]string{equal}, 0, " 0 differ"},
		{[]string{"--expect", outcome, equal}, 0, " 0 differ"},
		{[]string{"--expect", wrongOutcome, equal}, 1, `execution is "not_run"`},
		{[]string{changed}, 1, `"Kind":202`},
		{[]string{dropped}, 1, "complete: false"},
		{[]string{"--expect", outcome, dropped}, 0, "complete: false"},
		{[]string{withoutOutputs}, 1, "no outputs"},
		{[]string{"--expect", outcome, withoutOutputs}, 0, "no outputs"},
		{nil, 2, "name one trace"},
		{[]string{filepath.Join(dir, "none")}, 2, "none"},
		{[]string{"--expect", changed, equal}, 2, "line 1"},
		{[]string{outcome}, 2, "line 1"},
	}
	for _, c := range cases {
		if code, out := run(c.args...); code != c.code || !strings.Contains(out, c.text) {
			t.Errorf("%v: exit code %d, want %d with %q; output %.300q", c.args, code, c.code, c.text, out)
		}
	}
}
