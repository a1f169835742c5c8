package api

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/node/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness is a Server without a core. The function answer takes the core's place: it
// returns the output for an input, or nil for none. All inputs are recorded.
type harness struct {
	*Server
	inputs []model.Input
	answer func(model.Input) model.Output
}

func newHarness(t *testing.T) *harness {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	spans, err := telemetry.NewSpans(settings.Defaults().Spans, "a", "ikeja")
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{}
	h.Server = New(Config{
		Core: model.CoreConfig{Self: "a", Incarnation: 1, Place: "ikeja"}, Metrics: telemetry.NewMetrics(), Spans: spans, Memory: memory.NewBudget(1 << 20),
		DumpTrace: func(w io.Writer) error { _, err := io.WriteString(w, "{}\n"); return err },
		Submit: func(in model.Input) bool {
			h.inputs = append(h.inputs, in)
			if h.answer != nil {
				if out := h.answer(in); out != nil {
					h.HandleOutput(out)
				}
			}
			return true
		},
	}, l.(*net.TCPListener))
	return h
}

// do sends one request and returns the response and its trimmed body.
func (h *harness) do(method, path, body string) (*http.Response, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Request-Id", "r-1")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), strings.TrimSpace(w.Body.String())
}

// withoutElapsed sets elapsed_ms, the only varying field of an answer, to 0.
func withoutElapsed(t *testing.T, body string) string {
	t.Helper()
	head, _, found := strings.Cut(body, `"elapsed_ms":`)
	if !found {
		t.Fatalf("got body %s, want one with elapsed_ms", body)
	}
	return head + `"elapsed_ms":0}`
}

const bookingID = "a.1.1"

// Guards against a malformed call that reaches the core, and against a refusal
// without an error id, a message or the request id.
func TestMalformedCallsDoNotReachTheCore(t *testing.T) {
	h := newHarness(t)
	h.ApplySet(&objects.Set{Limits: objects.Limits{MaxBodyBytes: 100}})
	longQuery := `"` + strings.Repeat("x", 100) + `"`
	for _, c := range []struct {
		method, path, body string
		status             int
		id                 string
	}{
		{"POST", "/v1/search", ``, 400, "GD-101"},
		{"POST", "/v1/search", `[]`, 400, "GD-101"},
		{"POST", "/v1/search", `{"route":"r","query":1,"deadline_ms":9}{}`, 400, "GD-101"},
		{"POST", "/v1/search", `{"route":"r","query":1,"deadline_ms":9,"dedline":1}`, 400, "GD-101"},
		{"POST", "/v1/search", `{"route":"","query":1,"deadline_ms":9}`, 400, "GD-101"},
		{"POST", "/v1/search", `{"route":"r","deadline_ms":9}`, 400, "GD-101"},
		{"POST", "/v1/search", `{"route":"r","query":1,"deadline_ms":0}`, 400, "GD-101"},
		{"POST", "/v1/search", `{"route":"r","query":1,"deadline_ms":"9"}`, 400, "GD-101"},
		{"POST", "/v1/search", `{"route":"r","query":1}`, 400, "GD-103"},
		{"POST", "/v1/search", `{"route":"r","query":1,"deadline_ms":1e300}`, 400, "GD-104"},
		{"POST", "/v1/search", `{"route":"r","query":` + longQuery + `,"deadline_ms":9}`, 413, "GD-102"},
		{"POST", "/v1/search", strings.Repeat(" ", maxEnvelopeBytes+101), 413, "GD-102"},
		{"POST", "/v1/book", `{"route":"r","booking":1,"deadline_ms":9}`, 400, "GD-107"},
		{"POST", "/v1/book", `{"route":"r","booking_id":"a.01.1","booking":1,"deadline_ms":9}`, 400, "GD-107"},
		{"POST", "/v1/book", `{"route":"r","booking_id":"a.1.1","booking":1}`, 400, "GD-103"},
		{"POST", "/v1/booking-ids", `{}`, 400, "GD-101"},
		{"POST", "/v1/booking-ids", `{"count":1001}`, 400, "GD-101"},
		{"GET", "/v1/search", ``, 405, "GD-101"},
		{"GET", "/v1/other", ``, 404, "GD-101"},
	} {
		resp, body := h.do(c.method, c.path, c.body)
		var e errorResponse
		if err := json.Unmarshal([]byte(body), &e); err != nil {
			t.Errorf("%s %s: got error %v for the answer %q, want a JSON error", c.path, c.body, err, body)
		}
		if resp.StatusCode != c.status || e.Error.ID != c.id || e.Error.Execution != "not_run" || e.Error.Message == "" ||
			e.RequestID != "r-1" || resp.Header.Get("X-Request-Id") != "r-1" {
			t.Errorf("%s %.60s: got status %d and %s, want the status and error id of the table, execution not_run, a message, and request id r-1 in body and header", c.path, c.body, resp.StatusCode, body)
		}
	}
	if len(h.inputs) != 0 {
		t.Errorf("got inputs %+v at the core, want none", h.inputs)
	}
}

// Guards against JSON bodies that differ from section 4.1 of the design.
func TestAnswersHaveTheDocumentedJSON(t *testing.T) {
	h := newHarness(t)
	h.answer = func(in model.Input) model.Output {
		switch in := in.(type) {
		case model.SearchCall:
			if in.RequestID != "r-1" || in.Route != "rigging-desk" || string(in.Body) != `{"text":"iroko"}` ||
				in.Budget <= 0 || in.Budget > 140*time.Millisecond || in.Trace != "" {
				t.Errorf("got call %+v, want request id r-1, the route and query of the request, a budget above 0 and at most 140 ms, and no trace", in)
			}
			return model.SearchAnswer{Call: in.Call, Snapshot: 7, Searched: 1, Total: 2, Missing: []model.GroupID{"g2"},
				Parts: []model.AnswerPart{{Group: "g1", Target: "t1", Body: []byte(`{"n":1}`)}}, Stats: model.CallStats{SubRequests: 2, Hedges: 1}}
		case model.BookCall:
			return model.BookAnswer{Call: in.Call, Booking: in.Booking, Target: "t1", Repeat: true, Body: []byte(`[]`)}
		case model.IssueBookingIDs:
			return model.BookingIDs{Call: in.Call, IDs: []model.BookingID{{Owner: "a", Incarnation: 1, Counter: 1}}, Valid: 10 * time.Minute}
		case model.StatusCall:
			return model.Status{Call: in.Call, Readiness: model.Ready{Reason: "starting"}}
		}
		return nil
	}
	_, search := h.do("POST", "/v1/search", `{"route":"rigging-desk","query":{"text":"iroko"},"deadline_ms":140}`)
	_, book := h.do("POST", "/v1/book", `{"route":"r","booking_id":"a.1.1","booking":{},"deadline_ms":1000}`)
	_, ids := h.do("POST", "/v1/booking-ids", `{"count":1}`)
	_, status := h.do("GET", "/v1/status", ``)
	got := []string{withoutElapsed(t, search), withoutElapsed(t, book), ids, status}
	want := []string{
		`{"request_id":"r-1","snapshot":7,"coverage":{"searched":1,"total":2,"fraction":0.5,"missing":["g2"]},"parts":[{"group":"g1","target":"t1","result":{"n":1}}],"stats":{"sub_requests":2,"hedges":1,"retries":0,"restarts":0},"elapsed_ms":0}`,
		`{"request_id":"r-1","booking_id":"a.1.1","execution":"ran","target":"t1","repeat":true,"result":[],"elapsed_ms":0}`,
		`{"booking_ids":["a.1.1"],"valid_ms":600000}`,
		`{"instance":"a","incarnation":1,"place":"ikeja","ready":false,"reason":"starting","generation":0,"digest":"","confirmed_age_ms":-1,"members":[],"targets":[]}`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a 503, which invites a retry, for a call that may have run, and
// against a 503 without Retry-After.
func TestStatusOfErrors(t *testing.T) {
	h := newHarness(t)
	for _, c := range []struct {
		kind      model.Kind
		execution model.Execution
		status    int
	}{
		{model.KindNoRoute, model.NotRun, 404}, {model.KindBookingConflict, model.NotRun, 409},
		{model.KindOverloaded, model.NotRun, 503}, {model.KindUnconfirmed, model.NotRun, 503},
		{model.KindTargetShed, model.Unknown, 502}, {model.KindDeadline, model.Unknown, 504},
		{model.KindOwnerLost, model.Unknown, 502}, {model.Kind(999), model.Unknown, 502},
	} {
		h.answer = func(in model.Input) model.Output {
			if call, ok := in.(model.BookCall); ok {
				return model.BookAnswer{Call: call.Call, Error: &model.Error{Kind: c.kind, Execution: c.execution, Message: "m"}}
			}
			return nil
		}
		resp, body := h.do("POST", "/v1/book", `{"route":"r","booking_id":"a.1.1","booking":1,"deadline_ms":1000}`)
		want := `{"request_id":"r-1","error":{"id":"` + c.kind.ID() + `","kind":"` + c.kind.String() + `","execution":"` + c.execution.String() + `","message":"m"}}`
		if resp.StatusCode != c.status || body != want || (resp.Header.Get("Retry-After") != "") != (c.status == 503) {
			t.Errorf("got status %d, want %d, with Retry-After exactly if 503 is wanted, and with the core's error as the body; got body %s", resp.StatusCode, c.status, body)
		}
	}
}

// Guards against work that continues for a caller that has disconnected, and against a
// late answer that reaches another caller.
func TestDisconnectCancelsTheCall(t *testing.T) {
	h := newHarness(t)
	ctx, cancel := context.WithCancel(t.Context())
	var first model.CallID
	h.answer = func(in model.Input) model.Output {
		if call, ok := in.(model.SearchCall); ok {
			first = call.Call
			cancel()
		}
		return nil
	}
	r := httptest.NewRequest("POST", "/v1/search", strings.NewReader(`{"route":"r","query":1,"deadline_ms":60000}`)).WithContext(ctx)
	h.ServeHTTP(httptest.NewRecorder(), r)
	if diff := cmp.Diff(model.Input(model.CancelCall{Call: first}), h.inputs[1]); diff != "" {
		t.Error(diff)
	}
	h.answer = func(in model.Input) model.Output {
		if call, ok := in.(model.SearchCall); ok {
			h.HandleOutput(model.SearchAnswer{Call: first, Snapshot: 1})
			return model.SearchAnswer{Call: call.Call, Snapshot: 2}
		}
		return nil
	}
	if _, body := h.do("POST", "/v1/search", `{"route":"r","query":1,"deadline_ms":60000}`); !strings.Contains(body, `"snapshot":2`) {
		t.Error(body)
	}
}

// Guards against a call that never ends because the core does not answer.
func TestCoreDoesNotAnswer(t *testing.T) {
	h := newHarness(t)
	resp, body := h.do("POST", "/v1/book", `{"route":"r","booking_id":"`+bookingID+`","booking":1,"deadline_ms":1}`)
	if resp.StatusCode != 504 || !strings.Contains(body, `"execution":"unknown"`) {
		t.Errorf("got status %d and %s, want 504 with execution unknown", resp.StatusCode, body)
	}
	if _, ok := h.inputs[len(h.inputs)-1].(model.CancelCall); !ok {
		t.Errorf("got inputs %+v, want CancelCall as the last", h.inputs)
	}
}

// Guards against a wrong readiness for the balancer, and against operators' paths
// that return nothing.
func TestReadinessAndOperatorPaths(t *testing.T) {
	h := newHarness(t)
	if resp, _ := h.do("GET", "/readyz", ""); resp.StatusCode != 503 {
		t.Errorf("/readyz of a new instance: got status %d, want 503", resp.StatusCode)
	}
	h.HandleOutput(model.Ready{Ready: true})
	for _, path := range []string{"/readyz", "/healthz", "/v1/trace", "/v1/metrics-help", "/debug/vars"} {
		if resp, body := h.do("GET", path, ""); resp.StatusCode != 200 || body == "" {
			t.Errorf("%s: got status %d and body %q, want 200 and a body", path, resp.StatusCode, body)
		}
	}
	h.HandleOutput(model.Ready{Reason: "stopping"})
	if resp, body := h.do("GET", "/readyz", ""); resp.StatusCode != 503 || !strings.Contains(body, "stopping") {
		t.Errorf("/readyz of a stopping instance: got status %d and %s, want 503 and a body with the reason stopping", resp.StatusCode, body)
	}
}

// Guards against a request id that headers or messages cannot carry.
func TestRequestID(t *testing.T) {
	for id, valid := range map[string]bool{"r-1": true, "": false, "a b": false, "\xff": false, strings.Repeat("x", 129): false} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("X-Request-Id", id)
		if got := requestID(r); (got == id) != valid || got == "" {
			t.Errorf("X-Request-Id %q: got id %q, want the same id if it is valid, else another one that is not empty", id, got)
		}
	}
}
