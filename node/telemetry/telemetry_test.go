package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
	"galenadyke.dev/node/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against events of one name that flood the log, and against lines without
// the state before and after the event.
func TestEventsAreLimitedByName(t *testing.T) {
	var buf bytes.Buffer
	m := NewMetrics()
	l, err := NewLog(&buf, "info", m)
	if err != nil {
		t.Fatal(err)
	}
	for range 10 * lineBurst {
		l.Event(model.Event{Name: "TargetDown", Subject: "t1", Before: "2", After: "0", Warning: true})
	}
	l.Event(model.Event{Name: "ConfigAccepted", Subject: "set", Before: "3", After: "4"})
	l.Close()
	lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
	if len(lines) < lineBurst+1 || len(lines) > 2*lineBurst {
		t.Errorf("got %d lines about %d events, want more than one burst and at most two", len(lines), 10*lineBurst+1)
	}
	var last struct {
		Level, Message string
		Fields         map[string]string
	}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"subject": "set", "before": "3", "after": "4"}
	if diff := cmp.Diff(want, last.Fields); diff != "" || last.Message != "ConfigAccepted" || last.Level != "info" {
		t.Errorf("got last line %+v, want ConfigAccepted at level info; fields (-want +got):\n%s", last, diff)
	}
}

// blockingWriter blocks each Write until release is closed.
type blockingWriter struct{ release chan struct{} }

func (w blockingWriter) Write(p []byte) (int, error) { <-w.release; return len(p), nil }

// Guards against calls that block while a write to the log blocks.
func TestSlowLogWriterDoesNotBlock(t *testing.T) {
	w := blockingWriter{release: make(chan struct{})}
	m := NewMetrics()
	l, err := NewLog(w, "warn", m)
	if err != nil {
		t.Fatal(err)
	}
	for i := range maxQueuedLines + 10 {
		l.LinkBroken("b", "stream", errors.New("reset"))
		l.Event(model.Event{Name: "Name" + string(rune('A'+i%50)) + string(rune('A'+i/50)), Warning: true})
	}
	if m.logDropped.Value() == 0 {
		t.Error("got 0 lines counted as dropped, want at least one")
	}
	close(w.release)
	l.Close()
}

// Guards against a metric without a description, and a description without a
// metric.
func TestEveryMetricIsDocumented(t *testing.T) {
	m := NewMetrics()
	m.SetQueueLength(func() int { return 0 })
	var served struct{ Galenadyke map[string]any }
	if err := json.Unmarshal(m.Vars(), &served); err != nil {
		t.Fatal(err)
	}
	for _, info := range MetricTable() {
		if _, ok := served.Galenadyke[info.Name]; !ok || info.Unit == "" || info.Help == "" {
			t.Errorf("got %+v, want a metric that is served, a unit and a help text", info)
		}
		delete(served.Galenadyke, info.Name)
	}
	if len(served.Galenadyke) > 0 {
		t.Errorf("got metrics without documentation: %v, want none", served.Galenadyke)
	}
}

const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Guards against spans of hops that have another trace id than the caller's or the wrong
// parent span.
func TestSpansOfAllHopsShareOneTrace(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	s, err := NewSpans(settings.Defaults().Spans, "a", "ikeja")
	if err != nil {
		t.Fatal(err)
	}
	s.setProvider(sdktrace.WithSpanProcessor(recorder), "a", "ikeja")
	call, endCall := s.StartCall(callerTraceparent, CallSearch, "r-1")
	ref := model.WorkRef{Origin: "a", Incarnation: 1, Seq: 1}
	relay := s.RelaySent(model.SendPeer{To: "b", Message: model.RelayRequest{Trace: call, Items: []model.RelayItem{{Ref: ref}}}})
	target, endTarget := s.StartAttempt(model.SendTarget{Target: "t1", Hedge: true, Trace: relay.Message.(model.RelayRequest).Trace})
	endTarget(model.TargetReply{Execution: model.Ran})
	s.InputSeen(model.PeerInput{From: "b", Message: model.RelayReply{Items: []model.RelayOutcome{{Ref: ref}}}})
	endCall(model.KindOverloaded)
	forwarded := s.RelaySent(model.SendPeer{To: "b", Message: model.BookForward{Trace: callerTraceparent, Ref: ref}})
	s.InputSeen(model.PeerDown{Peer: "b"})
	if len(s.relays) != 0 || forwarded.Message.(model.BookForward).Trace == callerTraceparent {
		t.Errorf("got %d open relay spans and forwarded message %+v, want 0 and a traceparent of its own", len(s.relays), forwarded)
	}
	var got []string
	nameByID := map[string]string{}
	for _, span := range recorder.Ended() {
		nameByID[span.SpanContext().SpanID().String()] = span.Name()
	}
	for _, span := range recorder.Ended() {
		got = append(got, span.Name()+" below "+nameByID[span.Parent().SpanID().String()]+" "+span.Status().Description)
		if id := span.SpanContext().TraceID().String(); !strings.Contains(callerTraceparent, id) || !strings.Contains(target, id) {
			t.Errorf("span %s: got trace id %s, want that of the caller", span.Name(), id)
		}
	}
	want := []string{"target below relay ", "relay below search ", "search below  Overloaded", "forward below  PeerLost"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	s.Close(t.Context())
}

// Guards against passing on a caller's header that is not a valid traceparent.
func TestInvalidTraceparentsAreDropped(t *testing.T) {
	s, err := NewSpans(settings.Defaults().Spans, "a", "ikeja")
	if err != nil {
		t.Fatal(err)
	}
	for in, want := range map[string]string{callerTraceparent: callerTraceparent, "": "", "\xff": "", "00-1-2-01": ""} {
		if got, _ := s.StartCall(in, CallBook, "r"); got != want {
			t.Errorf("%q: got traceparent %q, want it unchanged if valid, else empty", in, got)
		}
	}
}

// Guards against spans that are lost when Spans is closed.
func TestSpansReachTheFile(t *testing.T) {
	cfg := settings.Defaults()
	cfg.SpanExporter, cfg.SpanFile = settings.ExporterFile, t.TempDir()+"/spans"
	s, err := NewSpans(cfg.Spans, cfg.Instance, cfg.Place)
	if err != nil {
		t.Fatal(err)
	}
	_, end := s.StartCall(callerTraceparent, CallBook, "r-9")
	end(model.KindNone)
	s.Close(t.Context())
	raw, err := os.ReadFile(cfg.SpanFile)
	if err != nil || !strings.Contains(string(raw), `"r-9"`) {
		t.Errorf("got error %v and file %s, want the span of request r-9", err, raw)
	}
}

// Guards against spans at the instance that serves a delegated request which don't have
// the span of the delegation as an ancestor, and against spans of failures without the
// name of the failure.
func TestSpansOfADelegatedRequest(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	s, err := NewSpans(settings.Defaults().Spans, "a", "ikeja")
	if err != nil {
		t.Fatal(err)
	}
	s.setProvider(sdktrace.WithSpanProcessor(recorder), "a", "ikeja")
	first, endFirst := s.StartRequest("not a traceparent", "r-1", false)
	hop, endHop := s.StartDelegation(first, gateway.Delegate{To: "b"})
	second, endSecond := s.StartRequest(hop, "r-1", true)
	_, endTarget := s.StartGatewayAttempt(second, gateway.SendAttempt{Target: "t"})
	endTarget(gateway.OutcomeShed)
	endSecond("refused")
	endHop(gateway.OutcomeSuccess)
	endFirst("")
	nameByID := map[string]string{}
	for _, span := range recorder.Ended() {
		nameByID[span.SpanContext().SpanID().String()] = span.Name()
	}
	var got []string
	for _, span := range recorder.Ended() {
		got = append(got, span.Name()+" below "+nameByID[span.Parent().SpanID().String()]+" "+span.Status().Description)
	}
	want := []string{"target below request shed", "request below delegate refused", "delegate below request ", "request below  "}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	s.Close(t.Context())
}

// Guards against allocations for the spans of a request when no exporter is set.
func TestDisabledSpansDoNotAllocate(t *testing.T) {
	s, err := NewSpans(settings.Defaults().Spans, "a", "ikeja")
	if err != nil {
		t.Fatal(err)
	}
	if n := testing.AllocsPerRun(100, func() {
		request, endRequest := s.StartRequest(callerTraceparent, "r-1", false)
		_, endTarget := s.StartGatewayAttempt(request, gateway.SendAttempt{Target: "t"})
		_, endHop := s.StartDelegation(request, gateway.Delegate{To: "b"})
		endTarget(gateway.OutcomeSuccess)
		endHop(gateway.OutcomeSuccess)
		endRequest("")
	}); n != 0 {
		t.Errorf("got %v allocations per request, want 0", n)
	}
}
