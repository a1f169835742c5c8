package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness is a Backend whose submitted inputs can be read and whose clock can be set.
type harness struct {
	*Backend
	inputs    chan model.Input
	boot      atomic.Int64 // time that BootTime returns, in nanoseconds
	onAttempt func()       // called at the start of each attempt
	opened    atomic.Int64 // number of connections opened
}

func newHarness(t *testing.T) *harness {
	h := &harness{inputs: make(chan model.Input, 64), onAttempt: func() {}}
	h.Backend = New(Config{
		Submit:   func(in model.Input) bool { h.inputs <- in; return true },
		BootTime: func() time.Duration { return time.Duration(h.boot.Load()) },
		Spans:    h,
		Metrics:  h,
	})
	t.Cleanup(h.Close)
	return h
}

func (h *harness) ConnectionOpened()               { h.opened.Add(1) }
func (h *harness) TargetReplied(model.TargetReply) {}
func (h *harness) StartAttempt(model.SendTarget) (string, func(model.TargetReply)) {
	h.onAttempt()
	return "00-trace-span-01", func(model.TargetReply) {}
}

func (h *harness) reply(t *testing.T) model.TargetReply {
	t.Helper()
	in, ok := (<-h.inputs).(model.TargetReply)
	if !ok {
		t.Fatalf("got input %T, want TargetReply", in)
	}
	in.Latency = 0 // the fake clock does not advance
	return in
}

func booking(address string) model.SendTarget {
	return model.SendTarget{Work: 5, Target: "t", Address: address, BookingID: "a.1.1",
		Deadline: 10 * time.Second, RequestID: "r-1", Body: []byte(`{"sku":1}`)}
}

func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

const bookingAnswer = `{"incarnation":3,"load":{"in_flight":1,"queued":0},"result":{"ok":true}}`

// closingTarget answers the first request on each connection. After a second
// request it closes the connection without an answer. requestCount returns the number
// of requests with the given X-Request-Id, which must be "r-1" or "r-2".
func closingTarget(t *testing.T) (address string, requestCount func(id string) int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var counts [2]atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for n := 0; n < 2; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, req.Body)
				counts[req.Header.Get("X-Request-Id")[2]-'1'].Add(1)
				if n == 0 {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(bookingAnswer), bookingAnswer)
				}
			}
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String(), func(id string) int64 { return counts[id[2]-'1'].Load() }
}

// Guards against net/http retrying a booking when a kept-alive connection is
// closed after the request was written.
func TestBookingIsNotResentAfterABrokenKeptAliveConnection(t *testing.T) {
	h := newHarness(t)
	address, requestCount := closingTarget(t)
	h.Send(booking(address))
	if r := h.reply(t); r.Error != model.KindNone || r.Execution != model.Ran {
		t.Fatalf("first booking: got reply %+v, want Ran without an error", r)
	}
	second := booking(address)
	second.RequestID = "r-2"
	h.Send(second)
	want := model.TargetReply{Work: 5, Error: model.KindTargetConnection, Execution: model.Unknown, Reset: true}
	if diff := cmp.Diff(want, h.reply(t)); diff != "" {
		t.Error(diff)
	}
	if n := requestCount("r-2"); n != 1 {
		t.Errorf("second booking: got %d requests at the target, want 1", n)
	}
	if n := h.opened.Load(); n != 1 {
		t.Errorf("got %d connections, want 1: the second booking must reuse the kept-alive connection", n)
	}
}

// Guards against a late second copy of an answer, on a connection that is in use again, that
// is taken for the answer to the next booking: what the booking did is unknown then, and the
// connection is not used any more.
func TestLateSecondCopyIsNotTheNextAnswer(t *testing.T) {
	answer := func(header string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(bookingAnswer), bookingAnswer)
	}
	for name, copyHeader := range map[string]string{"with its ID": "X-Request-Id: r-1\r\n", "without an ID": ""} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					r := bufio.NewReader(c)
					for n := 0; ; n++ {
						req, err := http.ReadRequest(r)
						if err != nil {
							break
						}
						_, _ = io.Copy(io.Discard, req.Body)
						own := answer("X-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n")
						if n == 1 {
							own = answer(copyHeader) + own
						}
						_, _ = io.WriteString(c, own)
					}
					_ = c.Close()
				}
			}()
			t.Cleanup(func() { _ = l.Close(); <-done })
			h := newHarness(t)
			for i, want := range []model.Execution{model.Ran, model.Unknown, model.Ran} {
				out := booking(l.Addr().String())
				out.RequestID = fmt.Sprint("r-", i+1)
				h.Send(out)
				if r := h.reply(t); r.Execution != want || (want == model.Unknown) != (r.Error == model.KindTargetAnswer) {
					t.Errorf("booking %d: got error %v, execution %v, want execution %v", i+1, r.Error, r.Execution, want)
				}
			}
			if n := h.opened.Load(); n != 2 {
				t.Errorf("got %d connections, want 2: the one with the copy is not used again", n)
			}
		})
	}
}

// Guards against a redirect that sends a booking to a second target.
func TestRedirectIsNotFollowed(t *testing.T) {
	var redirected atomic.Int64
	other := serve(t, func(http.ResponseWriter, *http.Request) { redirected.Add(1) })
	for _, status := range []int{301, 302, 303, 307, 308} {
		h := newHarness(t)
		h.Send(booking(serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "http://"+other+"/v1/book")
			w.WriteHeader(status)
		})))
		if r := h.reply(t); r.Error != model.KindTargetAnswer || r.Execution != model.Unknown {
			t.Errorf("status %d: got reply %+v, want TargetAnswer and Unknown", status, r)
		}
	}
	if redirected.Load() != 0 {
		t.Error("got a request at the location of the redirect, want none")
	}
}

// Guards against a "not run" that the target did not state, and against a stated
// "not run" that is ignored.
func TestAnswerClassification(t *testing.T) {
	refusal := `{"execution":"not_run","reason":"shed","incarnation":3,"load":{"in_flight":-2,"queued":9}}`
	refused := model.TargetAnswer{Incarnation: 3, Load: model.TargetLoad{Queued: 9}}
	ran := model.TargetAnswer{Incarnation: 3, Load: model.TargetLoad{InFlight: 1}, Body: []byte(`{"ok":true}`)}
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   model.TargetReply
	}{
		{"complete", 200, bookingAnswer, model.TargetReply{Execution: model.Ran, Answer: ran}},
		{"shed", 503, refusal, model.TargetReply{Error: model.KindTargetShed, Execution: model.NotRun, Answer: refused}},
		{"version gone", 409, refusal, model.TargetReply{Error: model.KindVersionGone, Execution: model.NotRun, Answer: refused}},
		{"503 without a JSON body", 503, `busy`, model.TargetReply{Error: model.KindTargetAnswer}},
		{"503 that may have run", 503, `{"execution":"unknown"}`, model.TargetReply{Error: model.KindTargetAnswer}},
		{"server error", 500, refusal, model.TargetReply{Error: model.KindTargetAnswer}},
		{"malformed", 200, `{"incarnation":3,`, model.TargetReply{Error: model.KindTargetAnswer}},
		{"incomplete", 200, `{"incarnation":3}`, model.TargetReply{Error: model.KindTargetAnswer}},
		{"too large", 200, strings.Repeat(" ", MaxAnswerBytes+1), model.TargetReply{Error: model.KindTargetAnswer}},
	} {
		h := newHarness(t)
		h.Send(booking(serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		})))
		c.want.Work = 5
		if diff := cmp.Diff(c.want, h.reply(t)); diff != "" {
			t.Errorf("%s: reply differs (-want +got):\n%s", c.name, diff)
		}
	}
}

// Guards against "unknown" for a target that refuses connections, which would
// prevent a retry of the booking at another target.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	h := newHarness(t)
	h.Send(booking(l.Addr().String()))
	want := model.TargetReply{Work: 5, Error: model.KindTargetConnection, Execution: model.NotRun, Reset: true}
	if diff := cmp.Diff(want, h.reply(t)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a write after the deadline by a process that was suspended between
// the decision to send and the write. The connection is already open, so only the
// check before the write can prevent it.
func TestNothingIsWrittenAfterTheDeadline(t *testing.T) {
	h := newHarness(t)
	var requests atomic.Int64
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = io.WriteString(w, bookingAnswer)
	})
	h.Send(booking(address))
	h.reply(t)
	h.onAttempt = func() { h.boot.Store(int64(time.Minute)) }
	h.Send(booking(address))
	want := model.TargetReply{Work: 5, Error: model.KindDeadline, Execution: model.NotRun}
	if diff := cmp.Diff(want, h.reply(t)); diff != "" {
		t.Error(diff)
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("got %d requests at the target, want 1", n)
	}
}

// Guards against a booking that continues at the target after it was cancelled, and
// against "not run" for a request that the target has read.
func TestCancelClosesTheRequest(t *testing.T) {
	h := newHarness(t)
	started, ended := make(chan struct{}), make(chan struct{})
	h.Send(booking(serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	})))
	<-started
	h.Cancel(5)
	<-ended
	want := model.TargetReply{Work: 5, Error: model.KindCancelled, Execution: model.Unknown}
	if diff := cmp.Diff(want, h.reply(t)); diff != "" {
		t.Error(diff)
	}
}

// Guards against more connections than the set allows for the target.
func TestConnectionLimitOfTheSet(t *testing.T) {
	const limit, sends = 2, 6
	h := newHarness(t)
	release := make(chan struct{})
	arrived := make(chan struct{}, sends)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(w, bookingAnswer)
	})
	h.ApplySet(&objects.Set{Groups: []objects.TargetGroup{{Targets: []objects.Target{{Name: "t", Address: address, Connections: limit, Slots: 2}}}}})
	for i := range sends {
		out := booking(address)
		out.Work = model.WorkID(i)
		h.Send(out)
	}
	for range limit {
		<-arrived
	}
	close(release)
	for range sends {
		if r := h.reply(t); r.Execution != model.Ran {
			t.Errorf("got reply %+v, want execution Ran", r)
		}
	}
	if n := h.opened.Load(); n > limit {
		t.Errorf("got %d connections, want at most %d", n, limit)
	}
}

// Guards against a search request without its headers, such as the snapshot or the
// deadline, and against a health report that is read incorrectly.
func TestSearchRequestAndProbe(t *testing.T) {
	h := newHarness(t)
	got := make(chan http.Header, 1)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/health" {
			_, _ = io.WriteString(w, `{"incarnation":3,"draining":true,"versions":[{"version":8,"total":3,"partitions":[2,1,2]},{"version":7,"total":2,"partitions":[]}]}`)
			return
		}
		got <- r.Header
		_, _ = io.WriteString(w, `{"snapshot":7,"partitions":[2,1],"truncated":true,"incarnation":3,"result":null}`)
	})
	out := booking(address)
	out.BookingID, out.Snapshot = "", 7
	h.Send(out)
	want := model.TargetReply{Work: 5, Execution: model.Ran, Answer: model.TargetAnswer{Snapshot: 7,
		Partitions: []uint32{1, 2}, Truncated: true, Incarnation: 3, Body: []byte("null")}}
	if diff := cmp.Diff(want, h.reply(t)); diff != "" {
		t.Error(diff)
	}
	header := <-got
	for name, want := range map[string]string{"X-Request-Id": "r-1", "X-Snapshot": "7", "X-Deadline-Ms": "10000",
		"X-Booking-Id": "", "Traceparent": "00-trace-span-01", "Idempotency-Key": ""} {
		if header.Get(name) != want {
			t.Errorf("header %s: got %q, want %q", name, header.Get(name), want)
		}
	}
	h.Probe(model.ProbeTarget{Target: "t", Address: address})
	probe := model.ProbeReply{Target: "t", OK: true, Report: model.TargetReport{Incarnation: 3, Draining: true,
		Versions: []model.VersionReport{{Version: 7, Total: 2, Partitions: []uint32{}}, {Version: 8, Total: 3, Partitions: []uint32{1, 2}}}}}
	if diff := cmp.Diff(model.Input(probe), <-h.inputs); diff != "" {
		t.Error(diff)
	}
}

// Guards against a first request that has to wait for a connect to its target.
func TestProbeOpensAConnectionForEachSlot(t *testing.T) {
	const slots = 3
	h := newHarness(t)
	var requests atomic.Int64
	allOpen := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch requests.Add(1) {
		case 1: // the probe
		case 1 + slots:
			close(allOpen)
		default: // hold the connection until the others are open
			select {
			case <-allOpen:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, `{"incarnation":3}`)
	})
	h.ApplySet(&objects.Set{Groups: []objects.TargetGroup{{Targets: []objects.Target{{Name: "t", Address: address, Connections: 8, Slots: slots}}}}})
	h.Probe(model.ProbeTarget{Target: "t", Address: address})
	if in := <-h.inputs; !in.(model.ProbeReply).OK {
		t.Errorf("probe: got %+v, want OK", in)
	}
	<-allOpen
	if n := h.opened.Load(); n != slots {
		t.Errorf("got %d connections, want %d", n, slots)
	}
}

// Guards against a panic, or a load out of range, on input from a faulty target.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(bookingAnswer))
	f.Add([]byte(`{"incarnation":1,"versions":[{"version":1,"total":1,"partitions":[0]}],"load":{"in_flight":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		report, _ := decodeReport(raw)
		answer, _ := decodeAnswer(raw, true)
		refusal, _ := decodeRefusal(raw)
		for _, l := range []model.TargetLoad{report.Load, answer.Load, refusal.Load} {
			if l.InFlight < 0 || l.Queued < 0 {
				t.Errorf("got load %+v, want InFlight and Queued of 0 or more", l)
			}
		}
	})
}

// Guards against an answer whose status is no status of HTTP, and against a next request on its
// connection, where other bytes may follow.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			if n == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(bookingAnswer), bookingAnswer)
			defer c.Close() //nolint:revive // open until the end of the test, so that it can be used again
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	h := newHarness(t)
	h.Send(booking(l.Addr().String()))
	if got := h.reply(t); got.Error != model.KindTargetAnswer || got.Execution != model.Unknown {
		t.Errorf("got error %v, execution %v, want the error of a wrong answer, which may have run", got.Error, got.Execution)
	}
	h.Send(booking(l.Addr().String()))
	if got := h.reply(t); got.Error != model.KindNone || h.opened.Load() != 2 {
		t.Errorf("next request: got error %v, %d connections, want an answer on a new connection", got.Error, h.opened.Load())
	}
}
