package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	core "galenadyke.dev/core/gateway"
	"galenadyke.dev/node/gateway"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform"
)

// panickyProtocol panics while it parses the first answers of targets.
type panickyProtocol struct {
	platform.Protocol
	left *atomic.Int32 // number of panics to come
}

func (p panickyProtocol) ParseReply(h http.Header) core.ReplyHeaders {
	if p.left.Add(-1) >= 0 {
		panic("parsing failed")
	}
	return p.Protocol.ParseReply(h)
}

// Guards against an unexpected error in one exchange that takes the whole process down, or
// leaves its request without an answer: the attempt ends as one that may have run.
func TestPanicInAnAttemptEndsOnlyTheAttempt(t *testing.T) {
	left := &atomic.Int32{}
	storeURL := startOneServer(t, 0)
	s := daemonSettings("front-0", "ikeja", storeURL, func(*settings.Gateway) {})
	p := testPlatform()
	p.Protocol = panickyProtocol{left: left}
	d, err := gateway.New(s, p, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	d.Start()
	t.Cleanup(d.Close)
	waitReady(t, s)
	left.Store(1)
	for i, want := range []int{http.StatusBadGateway, http.StatusOK} {
		resp, body := get(t, "http://"+s.CallerListen+"/p/x", fmt.Sprint("r", i))
		if resp.StatusCode != want || i == 0 && !strings.Contains(string(body), "internal error") {
			t.Errorf("request %d: got status %d, body %q, want %d", i, resp.StatusCode, body, want)
		}
	}
	if n := metric(t, s.ControlListen, `gateway_panics{of="attempt"}`); n != 1 {
		t.Errorf("got %d panics counted, want 1", n)
	}
}
