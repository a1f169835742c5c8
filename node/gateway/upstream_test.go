package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
)

// testProtocol is a Protocol with short header names: X-Id is the attempt ID, X-Wait the
// remaining time, X-Target the target's ID, X-Stamp the stamp, X-Limit the rate limit, and
// X-Not-Run states that the target did not run the request.
type testProtocol struct{}

func (testProtocol) ParseCaller(h http.Header) gateway.CallerHeaders {
	headers := gateway.CallerHeaders{AttemptID: h.Get("X-Id")}
	if d, err := time.ParseDuration(h.Get("X-Wait")); err == nil {
		headers.Remaining = d
	}
	return headers
}
func (testProtocol) SetsHeader(name string) bool { return name == "X-Wait" || name == "X-Target" }
func (testProtocol) AppendAttempt(lines []byte, headers gateway.AttemptHeaders) []byte {
	return fmt.Appendf(lines, "X-Wait: %dms\r\nX-Target: %s\r\n", headers.Remaining.Milliseconds(), headers.Target)
}
func (testProtocol) ParseReply(h http.Header) gateway.ReplyHeaders {
	headers := gateway.ReplyHeaders{AttemptID: h.Get("X-Id"), Stamp: h.Get("X-Stamp"), NotExecuted: h.Get("X-Not-Run") != ""}
	if limit, err := strconv.ParseFloat(h.Get("X-Limit"), 64); err == nil {
		headers.RateLimit, headers.HasRateLimit = limit, true
	}
	return headers
}
func (testProtocol) SetGathered(h http.Header, stamps []string, missing int) {
	h.Set("X-Stamps", strings.Join(stamps, ","))
	h.Set("X-Missing", fmt.Sprint(missing))
}

// scriptedTarget is a target that writes the bytes that a test prescribes.
type scriptedTarget struct {
	address     string
	mu          sync.Mutex // guards the fields below
	received    []string   // request line, host, headers and body of each request
	connections int
}

// startTarget starts a target. It answers request n on connection conn (both count from 1)
// with the result of script. An empty string closes the connection without an answer, "reset"
// resets it, and a suffix "<reset>" resets it after the bytes before the suffix.
func startTarget(t *testing.T, script func(conn, n int) string) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &scriptedTarget{address: l.Addr().String()}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			target.mu.Lock()
			target.connections++
			connNumber := target.connections
			target.mu.Unlock()
			go target.handle(c, connNumber, script)
		}
	}()
	return target
}

func (r *scriptedTarget) handle(c net.Conn, connNumber int, script func(conn, n int) string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		var head bytes.Buffer
		fmt.Fprintf(&head, "%s %s %s\n", req.Method, req.RequestURI, req.Host)
		_ = req.Header.Write(&head)
		head.Write(body)
		r.mu.Lock()
		r.received = append(r.received, head.String())
		r.mu.Unlock()
		answer := script(connNumber, n)
		switch answer {
		case "":
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		rest, reset := strings.CutSuffix(answer, "<reset>")
		_, _ = io.WriteString(c, rest)
		if reset {
			time.Sleep(20 * time.Millisecond) // lets the bytes arrive before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if strings.Contains(answer, "Connection: close") || !strings.Contains(answer, "Content-Length") {
			return
		}
	}
}

func (r *scriptedTarget) requests() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.received...)
}

// okAnswer returns a complete successful answer to the request with the ID.
func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: st\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// testUpstream sends attempts with consecutive IDs.
type testUpstream struct {
	u     *upstream
	start time.Time
	next  gateway.AttemptID
	over  []bound // bounds that answers exceeded
}

func newTestUpstream() *testUpstream {
	s := &testUpstream{start: time.Now()}
	s.u = &upstream{protocol: testProtocol{}, pools: newPools(func() {}), bodies: newBudget(0, bodyMemoryShare), bootTime: func() time.Duration { return time.Since(s.start) },
		overBound: func(_ model.TargetID, over *boundError) { s.over = append(s.over, over.bound) }}
	return s
}

// send makes an attempt at the target for a request with the ID. The deadline is 1 s away.
func (s *testUpstream) send(target *scriptedTarget, method, id, body string) (gateway.AttemptEnded, *reply) {
	s.next++
	req := &callerRequest{method: method, caller: gateway.CallerHeaders{AttemptID: id}, body: []byte(body),
		head: fmt.Appendf(nil, "%s /a%%2fb?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\n", method, id)}
	if body != "" {
		req.head = fmt.Appendf(req.head, "Content-Length: %d\r\n", len(body))
	}
	deadline := s.u.bootTime() + time.Second
	return s.u.do(&attempt{req: req, out: gateway.SendAttempt{Attempt: s.next, Target: model.TargetID("t1"), Address: target.address,
		Deadline: deadline, CallerDeadline: deadline}})
}

// Guards against incomplete or invalid answers that count as a success. The attempt must
// end as broken, which means that the request may have run.
func TestBrokenAnswersAreNotSuccesses(t *testing.T) {
	for name, answer := range map[string]string{
		"closed without an answer":  "",
		"reset without an answer":   "reset",
		"short body":                "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nContent-Length: 10\r\nConnection: close\r\n\r\n12345",
		"no length, reset":          "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\n\r\n12345<reset>",
		"chunks without an end":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\n12345\r\n",
		"cut in the head":           "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Sta",
		"cut before the body":       "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nContent-Length: 5\r\nConnection: close\r\n\r\n",
		"cut in a chunk":            "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\n123",
		"cut after the last chunk":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\n12345\r\n0\r\n",
		"cut in the trailer":        "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\nConnection: close\r\n\r\n5\r\n12345\r\n0\r\nX-Sum: 1",
		"not HTTP":                  "\x00\x01garbage Connection: close\r\n\r\n",
		"success without a stamp":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nab",
		"encoded body":              "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab",
		"only a 103 answer":         "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n",
		"answer to another request": "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Stamp: st\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, func(int, int) string { return answer })
			ended, rep := newTestUpstream().send(target, "POST", "a", "body")
			if ended.Outcome != gateway.OutcomeBroken {
				t.Errorf("got outcome %v, want broken", ended.Outcome)
			}
			if rep != nil && ended.Outcome == gateway.OutcomeSuccess {
				t.Error("got a successful answer that would be forwarded, want none")
			}
		})
	}
}

// Guards against a rate limit that the core does not hear of, in an answer or a refusal.
func TestRateLimitOfATargetIsReported(t *testing.T) {
	for status, want := range map[string]gateway.Outcome{"200 OK": gateway.OutcomeSuccess, "503 Busy": gateway.OutcomeShed, "500 Error": gateway.OutcomeFailure} {
		notRun := ""
		if want == gateway.OutcomeShed {
			notRun = "X-Not-Run: 1\r\n"
		}
		target := startTarget(t, func(int, int) string {
			return "HTTP/1.1 " + status + "\r\nX-Id: a\r\nX-Stamp: st\r\n" + notRun + "X-Limit: 22.9\r\nContent-Length: 0\r\n\r\n"
		})
		ended, _ := newTestUpstream().send(target, "GET", "a", "")
		if ended.Outcome != want || !ended.HasRateLimit || ended.RateLimit != 22.9 {
			t.Errorf("status %s: got outcome %v, limit %v, want %v and a limit of 22.9", status, ended.Outcome, ended.RateLimit, want)
		}
	}
}

// Guards against complete answers that count as broken. An answer without a length ends
// with its connection.
func TestCompleteAnswersAreSuccesses(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length":                      okAnswer("a", "12345"),
		"ended by the close":                 "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\n\r\n12345",
		"chunks":                             "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
		"after a 103 answer":                 "HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer("a", "12345"),
		"after an answer to another request": okAnswer("b", "other") + okAnswer("a", "12345"),
	} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, func(int, int) string { return answer })
			ended, rep := newTestUpstream().send(target, "GET", "a", "")
			if ended.Outcome != gateway.OutcomeSuccess || string(rep.body) != "12345" {
				t.Errorf("got outcome %v (%s), want success with body 12345", ended.Outcome, ended.Cause)
			}
		})
	}
}

// Guards against outcomes that say that a target ran a request which it did not run, or the
// reverse.
func TestStatusesAreClassified(t *testing.T) {
	for _, tc := range []struct {
		status int
		notRun bool
		want   gateway.Outcome
	}{
		{503, true, gateway.OutcomeShed},
		{429, true, gateway.OutcomeShed},
		{400, true, gateway.OutcomeRejected},
		{421, false, gateway.OutcomeMisdirected},
		{503, false, gateway.OutcomeFailure},
		{500, false, gateway.OutcomeFailure},
		{404, false, gateway.OutcomeFailure},
	} {
		header := ""
		if tc.notRun {
			header = "X-Not-Run: 1\r\n"
		}
		target := startTarget(t, func(int, int) string {
			return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: a\r\n%sContent-Length: 0\r\n\r\n", tc.status, header)
		})
		if ended, _ := newTestUpstream().send(target, "POST", "a", "body"); ended.Outcome != tc.want {
			t.Errorf("status %d, not run %v: got outcome %v, want %v", tc.status, tc.notRun, ended.Outcome, tc.want)
		}
	}
	if ended, _ := newTestUpstream().send(&scriptedTarget{address: "127.0.0.1:1"}, "POST", "a", "body"); ended.Outcome != gateway.OutcomeNotSent {
		t.Errorf("refused connection: got outcome %v, want not_sent", ended.Outcome)
	}
}

// Guards against surplus bytes that a target sends after an answer, at once or later, and
// that are taken for the answer to the next request.
func TestExtraBytesAreNotTheNextAnswer(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
		target := startTarget(t, func(_, n int) string { return okAnswer(fmt.Sprint("r", n), "x") })
		s := newTestUpstream()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					br := bufio.NewReader(c)
					for {
						req, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						id := req.Header.Get("X-Id")
						_, _ = io.WriteString(c, okAnswer(id, "right"))
						time.Sleep(delay)
						_, _ = io.WriteString(c, okAnswer(id, "extra"))
					}
				}()
			}
		}()
		target.address = l.Addr().String()
		for i := range 5 {
			ended, rep := s.send(target, "POST", fmt.Sprint("r", i), "b")
			if ended.Outcome != gateway.OutcomeSuccess || string(rep.body) != "right" {
				t.Errorf("extra bytes after %v, request %d: got outcome %v, body %q, want success with body \"right\"", delay, i, ended.Outcome, rep.body)
			}
			time.Sleep(2 * delay)
		}
	}
}

// Guards against a second copy of an answer that arrives late, on a connection that is in use
// again, and is taken for the answer to the next request. The copy comes while the connection
// is idle, after the next request has been written, or after its answer; with the ID of its
// own attempt, with that of another instance's, or without one.
func TestLateSecondCopyIsNotTheNextAnswer(t *testing.T) {
	own := func(id string) string { return okAnswer(id, "copy") }
	other := func(string) string { return okAnswer("elsewhere", "copy") }
	without := func(string) string {
		return "HTTP/1.1 200 OK\r\nX-Stamp: st\r\nContent-Length: 4\r\n\r\ncopy"
	}
	for name, copyOf := range map[string]func(id string) string{"own ID": own, "other ID": other, "no ID": without} {
		for _, when := range []string{"idle", "before the answer", "after the answer"} {
			t.Run(name+", "+when, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go answerWithCopies(c, copyOf, when)
					}
				}()
				s := newTestUpstream()
				reused := false
				for i := range 6 {
					ended, rep := s.send(&scriptedTarget{address: l.Addr().String()}, "POST", fmt.Sprint("r", i), "b")
					reused = reused || ended.Reused
					if ended.Outcome != gateway.OutcomeSuccess || string(rep.body) != "right" {
						t.Errorf("request %d: got outcome %v (%s), want success with its own answer", i, ended.Outcome, ended.Cause)
					}
					if when == "idle" {
						time.Sleep(20 * time.Millisecond) // the copy arrives meanwhile
					}
				}
				if when == "before the answer" && !reused {
					t.Error("no connection was used again, want the copies on reused connections")
				}
			})
		}
	}
}

// answerWithCopies answers each request on a connection with its ID, and sends a copy of an
// answer after the first one while the connection is idle, or before or after the second.
func answerWithCopies(c net.Conn, copyOf func(id string) string, when string) {
	defer c.Close()
	br := bufio.NewReader(c)
	previous := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Id")
		answer := okAnswer(id, "right")
		switch {
		case when == "before the answer" && previous != "":
			answer = copyOf(previous) + answer
		case when == "after the answer" && previous != "":
			answer += copyOf(id)
		}
		_, _ = io.WriteString(c, answer)
		if when == "idle" {
			time.Sleep(5 * time.Millisecond) // the instance returns the connection to the pool
			_, _ = io.WriteString(c, copyOf(id))
		}
		previous = id
	}
}

// Guards against a request that is written twice. If a reused connection breaks after the
// write, the attempt must end and not be sent again on another connection.
func TestBrokenReusedConnectionDoesNotResend(t *testing.T) {
	target := startTarget(t, func(_, n int) string {
		if n == 2 {
			return "reset"
		}
		return okAnswer("a", "x")
	})
	s := newTestUpstream()
	if ended, _ := s.send(target, "GET", "a", ""); ended.Outcome != gateway.OutcomeSuccess || ended.Reused {
		t.Fatalf("first attempt: got %+v, want a success on a new connection", ended)
	}
	ended, _ := s.send(target, "GET", "a", "")
	if ended.Outcome != gateway.OutcomeBroken || !ended.Reused {
		t.Errorf("second attempt: got %+v, want a broken attempt on the reused connection", ended)
	}
	if got := len(target.requests()); got != 2 {
		t.Errorf("got %d requests at the target, want 2", got)
	}
}

// Guards against a request that is lost on an idle connection that the target has closed.
// The close must be noticed before the write.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	target := startTarget(t, func(conn, n int) string {
		if conn == 1 {
			return strings.Replace(okAnswer("a", "x"), "X-Id", "X-Other: Connection: close\r\nX-Id", 1)
		}
		return okAnswer("a", "x")
	})
	s := newTestUpstream()
	for i := range 2 {
		ended, _ := s.send(target, "POST", "a", "b")
		if ended.Outcome != gateway.OutcomeSuccess {
			t.Errorf("request %d: got outcome %v (%s), want success", i, ended.Outcome, ended.Cause)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a request that is written where the target still expects a body. The
// connection of a target that answers before it has read a long body must not be reused.
func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				_, _ = c.Read(make([]byte, 256))
				_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			}()
		}
	}()
	target := &scriptedTarget{address: l.Addr().String()}
	s := newTestUpstream()
	long := strings.Repeat("x", 32<<20) // more than the buffers of the sockets hold
	for i := range 2 {
		if ended, _ := s.send(target, "POST", "a", long); ended.Outcome != gateway.OutcomeShed {
			t.Errorf("request %d: got outcome %v (%s), want shed by the early answer", i, ended.Outcome, ended.Cause)
		}
	}
	if got := len(conns); got != 2 {
		t.Errorf("got %d connections for 2 requests, want 2", got)
	}
}

// Guards against requests that are changed on the way to the target, or that lack the
// deadline or the target's ID.
func TestRequestArrivesUnchanged(t *testing.T) {
	target := startTarget(t, func(int, int) string { return okAnswer("a", "x") })
	newTestUpstream().send(target, "PUT", "a", "some body")
	got := target.requests()[0]
	for _, want := range []string{"PUT /a%2fb?q=1 h.example", "X-Target: t1", "X-Wait: ", "some body"} {
		if !strings.Contains(got, want) {
			t.Errorf("want %q in the request, got\n%s", want, got)
		}
	}
}

// Guards against an attempt that continues after its cancellation.
func TestCancelEndsTheExchange(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	target := startTarget(t, func(int, int) string { <-block; return "" })
	s := newTestUpstream()
	c := &attempt{req: &callerRequest{method: "GET", head: []byte("GET / HTTP/1.1\r\nHost: h\r\n")},
		out: gateway.SendAttempt{Attempt: 1, Target: "t1", Address: target.address, Deadline: time.Minute, CallerDeadline: time.Minute}}
	done := make(chan gateway.AttemptEnded, 1)
	go func() { ended, _ := s.u.do(c); done <- ended }()
	for len(target.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.cancel()
	select {
	case ended := <-done:
		if ended.Outcome != gateway.OutcomeTimedOut {
			t.Errorf("got outcome %v, want timed_out", ended.Outcome)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt did not end within 10 s of its cancellation")
	}
}

// Guards against an answer whose status is no status of HTTP, and against taking what follows it
// on the connection for the answer to this request or to the next.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+00"} {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\noops", "\r\n"} {
			target := startTarget(t, func(conn, n int) string {
				if conn == 1 && n == 1 {
					return "HTTP/1.1 " + status + " Trouble\r\nX-Id: a\r\nX-Stamp: st\r\n" + rest + okAnswer("a", "12345")
				}
				return okAnswer("b", "67890")
			})
			s := newTestUpstream()
			if ended, rep := s.send(target, "GET", "a", ""); ended.Outcome != gateway.OutcomeBroken || rep != nil {
				t.Errorf("status %s, %q: got outcome %v (%s), answer %v, want broken without an answer", status, rest, ended.Outcome, ended.Cause, rep != nil)
			}
			if ended, rep := s.send(target, "GET", "b", ""); ended.Outcome != gateway.OutcomeSuccess || ended.Reused || string(rep.body) != "67890" {
				t.Errorf("status %s, %q: next request: got outcome %v (%s), reused %v, want success on a new connection", status, rest, ended.Outcome, ended.Cause, ended.Reused)
			}
		}
	}
}
