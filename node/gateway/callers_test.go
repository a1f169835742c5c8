package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/telemetry"
)

type noMetrics struct{}

func (noMetrics) Answered(gateway.Answer, time.Duration) {}
func (noMetrics) CallerLeft()                            {}
func (noMetrics) Unread(string)                          {}

// startCallerServer serves a front whose core answers with answer, and returns its
// address and the inputs that the core got.
func startCallerServer(t *testing.T, answer func(f *callerServer, in gateway.Arrived) (gateway.Answer, bool)) (*callerServer, string, chan gateway.Input) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inputs := make(chan gateway.Input, 64)
	start := time.Now()
	var f *callerServer
	submit := func(in gateway.Input) bool {
		inputs <- in
		if in, ok := in.(gateway.Arrived); ok {
			if a, ok := answer(f, in); ok {
				a.Request = in.Request
				f.deliver(a)
			}
		}
		return true
	}
	f = newCallerServer(l, testProtocol{}, submit, func() time.Duration { return time.Since(start) }, noMetrics{}, &telemetry.Spans{})
	go f.http.Start(t.Context()) //nolint:errcheck // ends with the test
	t.Cleanup(func() { f.http.Close() })
	return f, "http://" + l.Addr().String(), inputs
}

// Guards against paths that are cleaned or redirected on the way, which would
// run another request than the caller's.
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
			t.Errorf("%s: status %d", path, resp.StatusCode)
		}
		if in := (<-inputs).(gateway.Arrived); in.Path != path {
			t.Errorf("the core gets %q for %q", in.Path, path)
		}
	}
}

// Guards against changed answers: status, body and headers are the target's,
// but for those that concern one connection.
func TestTargetsAnswerIsPassedOn(t *testing.T) {
	_, base, _ := startCallerServer(t, func(f *callerServer, in gateway.Arrived) (gateway.Answer, bool) {
		f.request(in.Request).storeReply(1, &reply{status: 207, body: []byte("the body"), header: http.Header{
			"X-Stamp": {"st"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "X-Two": {"a", "b"}}})
		return gateway.Answer{Kind: gateway.AnswerTarget, Attempt: 1}, true
	})
	resp, err := http.Get(base + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != 207 || string(body) != "the body" || resp.Header.Get("X-Stamp") != "st" || len(resp.Header["X-Two"]) != 2 {
		t.Errorf("got %d %q %v", resp.StatusCode, body, resp.Header)
	}
	for _, name := range []string{"X-Hop", "Keep-Alive", "Content-Type"} {
		if resp.Header.Get(name) != "" {
			t.Errorf("header %s is passed on or invented: %q", name, resp.Header.Get(name))
		}
	}
}

// Guards against answers of the instance that callers can't act on.
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
			t.Errorf("%v: status %d, %s %q, close %v", tc.answer.Kind, resp.StatusCode, tc.header, resp.Header.Get(tc.header), resp.Close)
		}
	}
}

// Guards against work for callers that have left: the core hears of it.
func TestCallerThatLeavesIsReported(t *testing.T) {
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
		if gone, ok := in.(gateway.CallerDisconnected); !ok || gone.Request != arrived.Request {
			t.Errorf("got %+v", in)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the core does not hear that the caller has left")
	}
}

// Guards against bodies beyond the published bound and against requests of which
// only a part came: neither reaches the core.
func TestUnfitRequestsDoNotReachTheCore(t *testing.T) {
	f, base, inputs := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) {
		return gateway.Answer{Kind: gateway.AnswerFailed}, true
	})
	f.setLimits(gateway.CallerLimits{MaxBodyBytes: 10})
	for _, body := range []io.Reader{strings.NewReader("12345678901"), io.MultiReader(strings.NewReader("123456"), strings.NewReader("789012"))} {
		resp, err := http.Post(base+"/x", "text/plain", body)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d, want 413", resp.StatusCode)
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
		t.Errorf("%d requests reached the core, want the one that fits", got)
	}
}

// Guards against headers of one connection that are passed on.
func TestConnectionHeadersStay(t *testing.T) {
	r := httptest.NewRequest("GET", "/x", nil)
	for name, value := range map[string]string{"Connection": "close, X-Hop", "X-Hop": "1", "Keep-Alive": "x", "Te": "x", "Upgrade": "x",
		"Expect": "100-continue", "X-Wait": "1s", "X-Target": "t", "X-Kept": "1"} {
		r.Header.Set(name, value)
	}
	got := forwardedHeaders(r.Header, testProtocol{}.Own)
	if len(got) != 1 || got.Get("X-Kept") != "1" {
		t.Errorf("passed on: %v", got)
	}
}
