package explain

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"galenadyke.dev/ctl/command"
)

const (
	// The log of front-1, which the caller asked.
	entryLog = `{"fields":{"after":"silent","before":"up","instance":"front-1","subject":"i-7"},"level":"warn","timestamp":"2026-01-01T10:00:00Z","message":"TargetDown"}
{"fields":{"after":"7","before":"4","instance":"front-1","subject":"front-1"},"level":"info","timestamp":"2026-01-01T10:00:00Z","message":"ConfigurationAdopted"}
{"fields":{"instance":"front-1","request":"r1","route":"find","outcome":"gathered","took_ms":71.5,"attempts":1,"missing":1,"configuration":7,"steps":["0.1 ms: delegated front-9: in lekki"]},"level":"info","timestamp":"2026-01-01T10:00:01Z","message":"RequestPartial"}
`
	// The log of front-9, whose clock is one hour behind that of front-1.
	gathererLog = `{"fields":{"after":"silent","before":"up","instance":"front-9","subject":"i-7"},"level":"warn","timestamp":"2026-01-01T09:00:00Z","message":"TargetDown"}
{"fields":{"after":"x","before":"y","instance":"front-9","subject":"i-8"},"level":"warn","timestamp":"2026-01-01T09:00:00Z","message":"TargetDown"}
{"fields":{"instance":"front-9","request":"r1","delegated":true,"route":"find","outcome":"gathered","took_ms":60,"attempts":21,"missing":1,"configuration":7,"suppressed":3,"steps":["30.0 ms: hedged i-7: in lekki","60.0 ms: given up shard: late"],"steps_left_out":2},"level":"info","timestamp":"2026-01-01T09:00:01Z","message":"RequestPartial"}
`
)

func run(t *testing.T, request string, logs ...string) (out, errs string, status int) {
	var stdout, stderr bytes.Buffer
	args := []string{"explain", request}
	for i, text := range logs {
		path := filepath.Join(t.TempDir(), string(rune('a'+i))+".log")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, path)
	}
	env := command.Environment{Stdout: &stdout, Stderr: &stderr}
	status = command.Run(context.Background(), env, args, NewCommand(env))
	return stdout.String(), stderr.String(), status
}

// Guards against a report that is ordered by clocks that differ. The instance that
// the caller asked must come first, and each instance must be shown with its own
// view at the time of the request.
func TestReportOrderFollowsDelegation(t *testing.T) {
	out, errs, status := run(t, "r1", gathererLog, entryLog)
	if status != 0 || errs != "" {
		t.Fatalf("exit status %d, standard error %q; want 0 and none", status, errs)
	}
	want := []string{"front-1", "asked by the caller", "believed: ConfigurationAdopted front-1: 4 -> 7", "delegated front-9", "1 parts missing",
		"front-9", "asked by another instance", "believed: TargetDown i-7: up -> silent", "hedged i-7", "2 more steps", "3 lines of this instance"}
	unmatched := out
	for _, text := range want {
		i := strings.Index(unmatched, text)
		if i < 0 {
			t.Fatalf("%q is missing or out of order in the output:\n%s", text, out)
		}
		unmatched = unmatched[i:]
	}
	if strings.Contains(out, "i-8") {
		t.Error("got a view change of i-8, want only the targets that the steps name")
	}
}

// Guards against bad input that hides the request: a cut line, lines that are not
// log lines and a missing file are reported, and the rest is still read.
func TestBadInputIsReportedAndTheRestIsShown(t *testing.T) {
	out, errs, status := run(t, "r1", "panic: something\n\n"+entryLog+`{"fields":{"instance":"fro`, entryLog)
	if status != 0 || !strings.Contains(out, "delegated front-9") {
		t.Errorf("exit status %d, output %q; want status 0 and an output with the steps of front-1", status, out)
	}
	for _, text := range []string{"cut off", "1 lines are not log lines"} {
		if !strings.Contains(errs, text) {
			t.Errorf("want %q on standard error, got %s", text, errs)
		}
	}
	var stderr, stdout bytes.Buffer
	env := command.Environment{Stdout: &stdout, Stderr: &stderr}
	if status := command.Run(context.Background(), env, []string{"explain", "r1", "/does/not/exist"}, NewCommand(env)); status != 1 || !strings.Contains(stderr.String(), "/does/not/exist") {
		t.Errorf("missing file: exit status %d; want 1 and the file name on standard error, got %s", status, stderr.String())
	}
	if _, errs, status := run(t, "other", entryLog); status != 1 || !strings.Contains(errs, "none of the logs") {
		t.Errorf("unknown request: exit status %d; want 1 and a message on standard error, got %s", status, errs)
	}
}
