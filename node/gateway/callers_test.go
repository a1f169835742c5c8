package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/callers"
	"galenadyke.dev/node/telemetry"
)

type noMetrics struct{}

func (noMetrics) Answered(gateway.Answer, time.Duration) {}
func (noMetrics) CallerDisconnected()                    {}
func (noMetrics) RequestUnread(string)                   {}

// startCallerServer starts a server for callers. answer takes the place of the core: it
// returns the answer to a request, or false for none. It may be nil if no request is sent.
// The results are the server, its URL and the inputs submitted to the core.
func startCallerServer(t *testing.T, answer func(server *callerServer, in gateway.Arrived) (gateway.Answer, bool)) (*callerServer, string, chan gateway.Input) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inputs := make(chan gateway.Input, 64)
	start := time.Now()
	var server *callerServer
	submit := func(in gateway.Input) bool {
		inputs <- in
		if in, ok := in.(gateway.Arrived); ok {
			if a, ok := answer(server, in); ok {
				a.Request = in.Request
				server.deliver(a)
			}
		}
		return true
	}
	server = newCallerServer(callers.NewDrainingListener(l.(*net.TCPListener)), testProtocol{}, submit, func() time.Duration { return time.Since(start) }, newBudget(0, bodyMemoryShare), 0, noMetrics{}, &telemetry.Spans{})
	go server.http.Start(t.Context()) //nolint:errcheck // ends with the test
	t.Cleanup(func() { server.http.Close() })
	return server, "http://" + l.Addr().String(), inputs
}

// Guards against paths that are cleaned or redirected, so that a target would run a
// request that the caller did not send.
func TestPathIsNotCleaned(t *testing.T) {
	_, base, inputs := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) {
		return gateway.Answer{Kind: gateway.AnswerNoRoute, Reason: "none"}, true
	})
	for _, path := range []string{"/a//b/../c/", "/a%2fb/", "/./x", "//y"} {
		resp, err := http.Get(base + path + "?q=%20")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("path %s: got status %d, want 404", path, resp.StatusCode)
		}
		if in := (<-inputs).(gateway.Arrived); in.Path != path {
			t.Errorf("the core got path %q, want %q", in.Path, path)
		}
	}
}

// Guards against answers from targets that are changed on the way to the caller. Only
// headers that concern a single connection are dropped.
func TestTargetAnswerIsForwarded(t *testing.T) {
	_, base, _ := startCallerServer(t, func(server *callerServer, in gateway.Arrived) (gateway.Answer, bool) {
		server.request(in.Request).keepReply(1, &reply{status: 207, body: []byte("the body"), hold: server.bodies.Hold(func() {}), header: http.Header{
			"X-Stamp": {"st"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "X-Two": {"a", "b"}}}, true)
		return gateway.Answer{Kind: gateway.AnswerTarget, Attempt: 1}, true
	})
	resp, err := http.Get(base + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != 207 || string(body) != "the body" || resp.Header.Get("X-Stamp") != "st" || len(resp.Header["X-Two"]) != 2 {
		t.Errorf("got status %d, body %q, headers %v, want status 207, \"the body\", X-Stamp st and two X-Two headers", resp.StatusCode, body, resp.Header)
	}
	for _, name := range []string{"X-Hop", "Keep-Alive", "Content-Type"} {
		if resp.Header.Get(name) != "" {
			t.Errorf("got header %s %q, want none", name, resp.Header.Get(name))
		}
	}
}

// Guards against answers by the instance itself that have a wrong status or lack the headers
// that tell callers what to do.
func TestOwnAnswers(t *testing.T) {
	for _, tc := range []struct {
		answer gateway.Answer
		status int
		header string
		want   string
	}{
		{gateway.Answer{Kind: gateway.AnswerRefused, RetryAfter: 80 * time.Millisecond}, 503, "Retry-After", "0.080"},
		{gateway.Answer{Kind: gateway.AnswerFailed}, 502, "Retry-After", ""},
		{gateway.Answer{Kind: gateway.AnswerLate, Closing: true}, 504, "Retry-After", ""},
		{gateway.Answer{Kind: gateway.AnswerGathered, Stamps: []string{"a", "b"}, Missing: 3, Records: []byte("r")}, 200, "X-Missing", "3"},
	} {
		_, base, _ := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) { return tc.answer, true })
		resp, err := http.Get(base + "/x")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != tc.status || resp.Header.Get(tc.header) != tc.want || resp.Close != tc.answer.Closing {
			t.Errorf("answer %v: got status %d, header %s %q, close %v, want the status and header of the table, and close as Closing in the answer", tc.answer.Kind, resp.StatusCode, tc.header, resp.Header.Get(tc.header), resp.Close)
		}
	}
}

// Guards against work that continues for a caller that has disconnected: the core must get
// CallerDisconnected.
func TestCallerDisconnectIsReported(t *testing.T) {
	_, base, inputs := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) { return gateway.Answer{}, false })
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n\r\n")
	arrived := (<-inputs).(gateway.Arrived)
	c.Close()
	select {
	case in := <-inputs:
		if disconnected, ok := in.(gateway.CallerDisconnected); !ok || disconnected.Request != arrived.Request {
			t.Errorf("got input %+v, want CallerDisconnected for the request", in)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the core got no CallerDisconnected within 10 s")
	}
}

// Guards against requests that reach the core although their body exceeds the published
// limit or is incomplete.
func TestInvalidRequestsDoNotReachTheCore(t *testing.T) {
	server, base, inputs := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) {
		return gateway.Answer{Kind: gateway.AnswerFailed}, true
	})
	server.setLimits(gateway.CallerLimits{MaxBodyBytes: 10})
	for _, body := range []io.Reader{strings.NewReader("12345678901"), io.MultiReader(strings.NewReader("123456"), strings.NewReader("789012"))} {
		resp, err := http.Post(base+"/x", "text/plain", body)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("body over the limit: got status %d, want 413", resp.StatusCode)
		}
	}
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1234")
	c.Close()
	resp, err := http.Post(base+"/x", "text/plain", strings.NewReader("1234567890"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got := len(inputs); got != 1 {
		t.Errorf("got %d requests at the core, want 1, the complete one within the limit", got)
	}
}

// Guards against forwarding headers that concern a single connection or that the instance
// sets itself.
func TestConnectionHeadersAreNotForwarded(t *testing.T) {
	r := httptest.NewRequest("GET", "/x", nil)
	for name, value := range map[string]string{"Connection": "close, X-Hop", "X-Hop": "1", "Keep-Alive": "x", "Te": "x", "Upgrade": "x",
		"Expect": "100-continue", "X-Wait": "1s", "X-Target": "t", "X-Kept": "1"} {
		r.Header.Set(name, value)
	}
	got := forwardedHeaders(r.Header, testProtocol{}.SetsHeader)
	if len(got) != 1 || got.Get("X-Kept") != "1" {
		t.Errorf("got forwarded headers %v, want only X-Kept with the value 1", got)
	}
}

// Guards against a published idle timeout that the server does not apply.
func TestCallerServerAppliesTheIdleTimeout(t *testing.T) {
	server, base, _ := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) {
		return gateway.Answer{Kind: gateway.AnswerNoRoute}, true
	})
	server.setLimits(gateway.CallerLimits{IdleTimeout: time.Millisecond})
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(bufio.NewReader(c))
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 404 ") {
		t.Errorf("got error %v, answer %q, want a 404 and then the close", err, answer)
	}
}

// Guards against a configuration that resets published limits that it does not state.
func TestUnstatedLimitsAreUnchanged(t *testing.T) {
	server, _, _ := startCallerServer(t, nil)
	server.setLimits(gateway.CallerLimits{MaxHeaderBytes: 100, MaxBodyBytes: 200, IdleTimeout: time.Second})
	server.setLimits(gateway.CallerLimits{MaxBodyBytes: 300})
	if got, want := *server.limits.Load(), (gateway.CallerLimits{MaxHeaderBytes: 100, MaxBodyBytes: 300, IdleTimeout: time.Second}); got != want {
		t.Errorf("got limits %+v, want %+v", got, want)
	}
}

// Guards against requests that reach the core although their head exceeds the published
// limit, and against refusing a head of exactly the limit.
func TestHeadsOverThePublishedLimitAreRefused(t *testing.T) {
	server, base, inputs := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) {
		return gateway.Answer{Kind: gateway.AnswerNoRoute}, true
	})
	const head = "GET /x HTTP/1.1\r\nHost: h\r\nX-A: 1234567\r\n\r\n"
	server.setLimits(gateway.CallerLimits{MaxHeaderBytes: len(head)})
	for extra, want := range map[string]string{"": "404", "8": "431"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, strings.Replace(head, "1234567", "1234567"+extra, 1))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if !strings.HasPrefix(resp.Status, want) {
			t.Errorf("head extended by %q: got status %s, want %s", extra, resp.Status, want)
		}
	}
	if len(inputs) != 1 {
		t.Errorf("got %d requests at the core, want 1, the one within the limit", len(inputs))
	}
}

// Guards against a connection that is kept for the rest of a body whose request was refused.
func TestRefusedRequestDoesNotWaitForItsBody(t *testing.T) {
	server, base, _ := startCallerServer(t, nil)
	server.setLimits(gateway.CallerLimits{MaxHeaderBytes: 1000, MaxBodyBytes: 100})
	for name, request := range map[string]string{
		"413": "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\nx",
		"431": "POST /x HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("x", 1000) + "\r\nContent-Length: 50\r\n\r\nx",
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, request)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		answer, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 "+name) {
			t.Errorf("got error %v, answer %.40q, want %s and then the close", err, answer, name)
		}
	}
}
