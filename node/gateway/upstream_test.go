package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
)

// testProtocol names the headers of the tests.
type testProtocol struct{}

func (testProtocol) Caller(h http.Header) gateway.CallerHeaders {
	head := gateway.CallerHeaders{AttemptID: h.Get("X-Id")}
	if d, err := time.ParseDuration(h.Get("X-Wait")); err == nil {
		head.Remaining = d
	}
	return head
}
func (testProtocol) Own(name string) bool { return name == "X-Wait" || name == "X-Target" }
func (testProtocol) Attempt(lines []byte, head gateway.AttemptHeaders) []byte {
	return fmt.Appendf(lines, "X-Wait: %dms\r\nX-Target: %s\r\n", head.Remaining.Milliseconds(), head.Target)
}
func (testProtocol) Reply(h http.Header) gateway.ReplyHeaders {
	return gateway.ReplyHeaders{AttemptID: h.Get("X-Id"), Stamp: h.Get("X-Stamp"), NotExecuted: h.Get("X-Not-Run") != ""}
}
func (testProtocol) Gathered(h http.Header, stamps []string, missing int) {
	h.Set("X-Stamps", strings.Join(stamps, ","))
	h.Set("X-Missing", fmt.Sprint(missing))
}

// scriptedTarget is a target that writes what the test says, byte for byte.
type scriptedTarget struct {
	address     string
	mu          sync.Mutex
	received    []string // of all requests that were read, with their bodies
	connections int
}

// startTarget answers the n-th request on each connection with what script returns; an
// empty string closes the connection, "reset" resets it.
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
			number := target.connections
			target.mu.Unlock()
			go target.handle(c, number, script)
		}
	}()
	return target
}

func (r *scriptedTarget) handle(c net.Conn, number int, script func(conn, n int) string) {
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
		answer := script(number, n)
		switch answer {
		case "":
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		rest, cut := strings.CutSuffix(answer, "<reset>")
		_, _ = io.WriteString(c, rest)
		if cut {
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

func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: st\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

type testUpstream struct {
	u     *upstream
	start time.Time
	next  gateway.AttemptID
}

func newTestUpstream() *testUpstream {
	s := &testUpstream{start: time.Now()}
	s.u = &upstream{protocol: testProtocol{}, pools: newPools(func() {}), boot: func() time.Duration { return time.Since(s.start) }}
	return s
}

// send makes one attempt.
func (s *testUpstream) send(r *scriptedTarget, method, id, body string) (gateway.AttemptEnded, *reply) {
	s.next++
	req := &callerRequest{method: method, caller: gateway.CallerHeaders{AttemptID: id}, body: []byte(body),
		head: fmt.Appendf(nil, "%s /a%%2fb?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\n", method, id)}
	if body != "" {
		req.head = fmt.Appendf(req.head, "Content-Length: %d\r\n", len(body))
	}
	deadline := s.u.boot() + time.Second
	return s.u.do(&attempt{req: req, out: gateway.SendAttempt{Attempt: s.next, Target: model.TargetID("t1"), Address: r.address,
		Deadline: deadline, CallerDeadline: deadline}})
}

// Guards against answers that look whole and are not: each broken answer ends
// the attempt as "may have run", never as a success.
func TestBrokenAnswersAreNotSuccesses(t *testing.T) {
	for name, answer := range map[string]string{
		"closed without an answer":  "",
		"reset without an answer":   "reset",
		"short body":                "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nContent-Length: 10\r\nConnection: close\r\n\r\n12345",
		"no length, reset":          "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\n\r\n12345<reset>",
		"chunks without an end":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\n12345\r\n",
		"not HTTP":                  "\x00\x01garbage Connection: close\r\n\r\n",
		"success without a stamp":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nab",
		"encoded":                   "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab",
		"only an informational one": "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n",
		"answer of another request": "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Stamp: st\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, func(int, int) string { return answer })
			ended, rep := newTestUpstream().send(target, "POST", "a", "body")
			if ended.Outcome != gateway.OutcomeBroken {
				t.Errorf("outcome %v, want broken", ended.Outcome)
			}
			if rep != nil && ended.Outcome == gateway.OutcomeSuccess {
				t.Error("the answer would be passed on")
			}
		})
	}
}

// Guards against answers that are refused although they are whole: an answer
// without a length ends with its connection.
func TestWholeAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"length":           okAnswer("a", "12345"),
		"until the end":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\n\r\n12345",
		"chunks":           "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
		"after a hint":     "HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer("a", "12345"),
		"after a late one": okAnswer("b", "other") + okAnswer("a", "12345"),
	} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, func(int, int) string { return answer })
			ended, rep := newTestUpstream().send(target, "GET", "a", "")
			if ended.Outcome != gateway.OutcomeSuccess || string(rep.body) != "12345" {
				t.Errorf("outcome %v (%s)", ended.Outcome, ended.Cause)
			}
		})
	}
}

// Guards against untrue statements about what ran.
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
			t.Errorf("status %d, not run %v: %v, want %v", tc.status, tc.notRun, ended.Outcome, tc.want)
		}
	}
	if ended, _ := newTestUpstream().send(&scriptedTarget{address: "127.0.0.1:1"}, "POST", "a", "body"); ended.Outcome != gateway.OutcomeNotSent {
		t.Errorf("refused connection: %v, want not_sent", ended.Outcome)
	}
}

// Guards against bytes that belong to no request: whatever follows an answer, at
// once or later, is never taken for the answer to the next request.
func TestExtraBytesPoisonTheConnectionOnly(t *testing.T) {
	for _, late := range []time.Duration{0, 30 * time.Millisecond} {
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
						time.Sleep(late)
						_, _ = io.WriteString(c, okAnswer(id, "extra"))
					}
				}()
			}
		}()
		target.address = l.Addr().String()
		for i := range 5 {
			ended, rep := s.send(target, "POST", fmt.Sprint("r", i), "b")
			if ended.Outcome != gateway.OutcomeSuccess || string(rep.body) != "right" {
				t.Errorf("late by %v, request %d: %v, body %q", late, i, ended.Outcome, rep.body)
			}
			time.Sleep(2 * late)
		}
	}
}

// Guards against a request that is written twice: when a kept connection breaks
// after the write, the attempt ends, and no other connection carries it again.
func TestBrokenKeptConnectionDoesNotResend(t *testing.T) {
	target := startTarget(t, func(_, n int) string {
		if n == 2 {
			return "reset"
		}
		return okAnswer("a", "x")
	})
	s := newTestUpstream()
	if ended, _ := s.send(target, "GET", "a", ""); ended.Outcome != gateway.OutcomeSuccess || ended.Reused {
		t.Fatalf("first: %+v", ended)
	}
	ended, _ := s.send(target, "GET", "a", "")
	if ended.Outcome != gateway.OutcomeBroken || !ended.Reused {
		t.Errorf("second: %+v, want a broken attempt on the kept connection", ended)
	}
	if got := len(target.requests()); got != 2 {
		t.Errorf("%d requests were written, want 2", got)
	}
}

// Guards against a request on a connection that the target has closed meanwhile:
// it is noticed before the write, so that the request is not lost.
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
			t.Errorf("request %d: %v (%s)", i, ended.Outcome, ended.Cause)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against bytes of another request where a body is still due: a target
// that answers before it has read a long body gets no other request on that
// connection.
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
			t.Errorf("request %d: %v (%s), want the early answer", i, ended.Outcome, ended.Cause)
		}
	}
	if got := len(conns); got != 2 {
		t.Errorf("%d connections for 2 requests, want one each", got)
	}
}

// Guards against changed requests: path, query, method and body arrive as they
// were sent, with the deadline and the target's name.
func TestRequestArrivesUnchanged(t *testing.T) {
	target := startTarget(t, func(int, int) string { return okAnswer("a", "x") })
	newTestUpstream().send(target, "PUT", "a", "some body")
	got := target.requests()[0]
	for _, want := range []string{"PUT /a%2fb?q=1 h.example", "X-Target: t1", "X-Wait: ", "some body"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
}

// Guards against a cancelled attempt that goes on.
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
			t.Errorf("outcome %v, want timed_out", ended.Outcome)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the exchange goes on after the cancellation")
	}
}
