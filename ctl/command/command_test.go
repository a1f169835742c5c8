package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"galenadyke.dev/ctl/client"
	"github.com/google/go-cmp/cmp"
)

const lagos = "../../examples/lagos"

// run runs the command line and returns its exit code and standard output.
func run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	env := Environment{Stdin: strings.NewReader(`{"from":"stdin"}`), Stdout: &stdout, Stderr: &stderr}
	code := Run(context.Background(), env, args, All(env)...)
	if code == 2 && (stdout.Len() > 0 || stderr.Len() == 0) {
		t.Errorf("%v: exit code 2 with standard output %q; want no standard output and a message on standard error", args, stdout.String())
	}
	return code, stdout.String()
}

// Guards against an exit code that lets a script publish a refused set.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.json")
	if err := os.WriteFile(bad, []byte(`[{"kind":"place"}]`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args []string
		want int
	}{
		{[]string{"check", lagos}, 0},
		{[]string{"check", lagos, "--json"}, 0},
		{[]string{"check", bad}, 1},
		{[]string{"check", filepath.Join(dir, "none.json")}, 1},
		{[]string{"check", dir, lagos}, 1},
		{[]string{"check"}, 2},
		{[]string{"check", lagos, "--unknown"}, 2},
		{[]string{"bundle", lagos}, 2},
		{[]string{"bundle", "--generation", "1", bad}, 1},
		{[]string{"diff", lagos}, 2},
		{[]string{"diff", lagos, bad}, 1},
		{[]string{"plan", "--groups", lagos}, 0},
		{[]string{"status"}, 2},
		{[]string{"status", "--instances", "localhost:8080"}, 2},
		{[]string{"search", "--instance", "127.0.0.1:1"}, 2},
		{[]string{"search", "--instance", "127.0.0.1:1", "--route", "r", "--query", "{"}, 2},
		{[]string{"book", "--instance", "127.0.0.1:1", "--route", "r", "--deadline", "0s"}, 2},
		{[]string{"none"}, 2},
		{nil, 2},
	}
	for _, c := range cases {
		if got, out := run(t, c.args...); got != c.want {
			t.Errorf("%v: exit code %d, want %d; output %q", c.args, got, c.want, out)
		}
	}
}

// Guards against a bundle that the commands cannot read back, and against a diff
// that does not warn that one bundle cannot replace the other. Without the warning,
// the publication would fail silently.
func TestBundleAndDiff(t *testing.T) {
	dir := t.TempDir()
	generation1, generation2 := filepath.Join(dir, "one.json"), filepath.Join(dir, "two.json")
	code, summaryLine := run(t, "bundle", "--generation", "2", "--out", generation2, lagos)
	if code != 0 || !strings.Contains(summaryLine, "generation 2, digest ") {
		t.Fatalf("bundle: exit code %d, output %q; want 0 and a summary of generation 2", code, summaryLine)
	}
	written, _ := os.ReadFile(generation2)
	if code, out := run(t, "bundle", generation2, "--generation", "2"); code != 0 || out != string(written) {
		t.Errorf("bundling a bundle: exit code %d, or other bytes; want 0 and the bytes of the bundle", code)
	}
	limits := filepath.Join(dir, "limits.json")
	if err := os.WriteFile(limits, []byte(`{"kind":"limits","name":"limits","warm_step":9}`), 0o600); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(lagos + "/*[^s].json") // without limits.json and places.json
	args := append([]string{"bundle", "--generation", "1", "--out", generation1, limits, lagos + "/places.json"}, files...)
	if code, out := run(t, args...); code != 0 {
		t.Fatal(out)
	}
	code, out := run(t, "diff", "--json", generation2, generation1)
	var report diffReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || code != 0 {
		t.Fatalf("diff: exit code %d, JSON error %v; want 0 and none", code, err)
	}
	if len(report.Changes) != 1 || report.Changes[0].After != "9" || report.Warning == "" {
		t.Errorf("diff: got changes %+v, warning %q; want one change to 9 and a warning", report.Changes, report.Warning)
	}
	if err := os.WriteFile(generation1, append(written, ' '), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := run(t, "check", generation1); code != 1 || !strings.Contains(out, generation1) || !strings.Contains(out, "not-canonical") {
		t.Errorf("check of a changed bundle: exit code %d, output %q; want 1 and not-canonical with the file name", code, out)
	}
}

// fakeInstance serves handlers in place of an instance and returns its address.
func fakeInstance(t *testing.T, handlers map[string]http.HandlerFunc) string {
	mux := http.NewServeMux()
	for pattern, h := range handlers {
		mux.HandleFunc(pattern, h)
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// replyWith returns a handler that answers with status and body.
func replyWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// serveStatus starts a fake instance with status s and returns its address.
func serveStatus(t *testing.T, s client.Status) string {
	raw, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return fakeInstance(t, map[string]http.HandlerFunc{"GET /v1/status": replyWith(http.StatusOK, string(raw))})
}

// Guards against a report that leaves out an instance with an old configuration or
// a target that is still cold. Operators rely on the report during a migration.
func TestStatus(t *testing.T) {
	members := []client.MemberStatus{{ID: "a", Status: "serving"}, {ID: "b", Status: "serving"}}
	cold := client.TargetStatus{Name: "t1", Group: "g", Lead: "b", Level: 1, Slots: 2}
	a := client.Status{
		Instance: "a", Ready: true, Generation: 3, Digest: strings.Repeat("f", 64), ConfirmedAgeMS: 10, Members: members,
		Targets: []client.TargetStatus{{Name: "t1", Group: "g", Lead: "b", Level: 2, Slots: 2}, {Name: "t2", Lead: "a", Level: 2, Slots: 2}},
	}
	b := a
	b.Instance, b.Targets = "b", []client.TargetStatus{cold, a.Targets[1]}
	addresses := serveStatus(t, a) + "," + serveStatus(t, b)
	if code, out := run(t, "status", "--instances", addresses); code != 0 || !strings.Contains(out, "1 of 2") {
		t.Errorf("consistent instances: exit code %d; want 0 and a target at level 1 of 2; output:\n%s", code, out)
	}
	c := b
	c.Instance, c.Generation, c.Ready, c.Reason, c.ConfirmedAgeMS = "c", 2, false, "Unconfirmed", 9000
	c.Targets = []client.TargetStatus{{Name: "t2", Lead: "c", Slots: 2, Out: true, Draining: true}}
	code, out := run(t, "status", "--json", "--instances", addresses+","+serveStatus(t, c)+",127.0.0.1:1")
	var report fleetReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || code != 1 {
		t.Fatalf("status: exit code %d, JSON error %v; want 1 and none", code, err)
	}
	var got []string
	for _, p := range report.Problems {
		got = append(got, string(p.Kind)+" "+p.Subject)
	}
	want := []string{
		"not-ready c", "confirmation-old c", "unreachable 127.0.0.1:1", "configuration-behind c",
		"members-differ a", "members-differ b", "leads-differ t2",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
	state := targetState(c.Targets[0])
	if diff := cmp.Diff([]string{"out", "draining", "down"}, state); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}

// Guards against output that hides a coverage below 100 %, and against flags
// that do not reach the instance.
func TestSearch(t *testing.T) {
	var got client.SearchRequest
	address := fakeInstance(t, map[string]http.HandlerFunc{"POST /v1/search": func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&got)
		replyWith(http.StatusOK, `{"request_id":"`+r.Header.Get("X-Request-Id")+`","snapshot":7,
			"coverage":{"searched":39,"total":40,"fraction":0.975,"missing":["g2"]},
			"parts":[{"group":"g1","target":"t1","result":[1]}],"stats":{"sub_requests":2,"retries":1}}`)(w, r)
	}})
	code, out := run(t, "search", "--instance", address, "--route", "r", "--query", "-", "--deadline", "250ms", "--request-id", "x1")
	for _, text := range []string{"39 of 40 partitions (97.5 %)", "missing: g2", "request x1", "1 retry"} {
		if code != 0 || !strings.Contains(out, text) {
			t.Errorf("exit code %d; want 0 and an output with %q; output:\n%s", code, text, out)
		}
	}
	want := client.SearchRequest{Route: "r", Query: json.RawMessage(`{"from":"stdin"}`), DeadlineMS: 250}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
}

// Guards against an unknown outcome shown without the booking id, which would make
// the operator book a second time, and against "not run" for a booking that was sent
// but got no valid answer from the tier.
func TestBook(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		code   int
		want   []string
	}{
		"ran":       {200, `{"booking_id":"a.1.1","execution":"ran","target":"t1","repeat":false,"result":{}}`, 0, []string{"ran", "a.1.1", "t1"}},
		"unknown":   {504, `{"request_id":"q","error":{"id":"GD-404","kind":"Deadline","execution":"unknown","message":"m"}}`, 1, []string{"unknown", "GD-404", "--booking-id a.1.1"}},
		"not run":   {503, `{"error":{"id":"GD-204","kind":"Overloaded","execution":"not_run","message":"m"}}`, 1, []string{"not_run", "Overloaded"}},
		"balancer":  {502, `<html>`, 1, []string{"unknown", "--booking-id a.1.1"}},
		"redirect":  {307, ``, 1, []string{"unknown", "--booking-id a.1.1"}},
		"cut short": {200, `{"booking_id"`, 1, []string{"unknown", "--booking-id a.1.1"}},
	}
	for name, c := range cases {
		calls := 0
		address := fakeInstance(t, map[string]http.HandlerFunc{
			"POST /v1/booking-ids": replyWith(200, `{"booking_ids":["a.1.1"],"valid_ms":600000}`),
			"POST /v1/book": func(w http.ResponseWriter, r *http.Request) {
				calls++
				w.Header().Set("Location", "/v1/book")
				replyWith(c.status, c.body)(w, r)
			},
		})
		code, out := run(t, "book", "--instance", address, "--route", "r", "--booking", `{"n":1}`)
		if code != c.code || calls != 1 {
			t.Errorf("%s: exit code %d, %d calls; want the exit code of the case and 1 call", name, code, calls)
		}
		for _, text := range c.want {
			if !strings.Contains(out, text) {
				t.Errorf("%s: want %q in the output, got:\n%s", name, text, out)
			}
		}
	}
	code, out := run(t, "book", "--json", "--instance", "127.0.0.1:1", "--route", "r")
	if code != 1 || !strings.Contains(out, fmt.Sprintf("%q", client.NotRun)) {
		t.Errorf("refused connection: exit code %d; want 1 and execution not_run; output %s", code, out)
	}
}
