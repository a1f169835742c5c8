package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"galenadyke.dev/core/gateway"
)

// Guards against an idle limit that keeps the value from the start of the
// process, or that counts while a request is served.
func TestIdleConnectionsCloseAfterThePublishedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := time.Minute
		idle := newIdleConnections(func() time.Duration { return limit })
		serverConn, callerConn := net.Pipe()
		defer callerConn.Close()
		closed := make(chan struct{})
		go func() {
			_, _ = io.ReadAll(callerConn) // ends with the connection
			close(closed)
		}()
		checkOpen := func(step string) {
			t.Helper()
			synctest.Wait()
			select {
			case <-closed:
				t.Fatalf("closed %s", step)
			default:
			}
		}
		idle.connState(serverConn, http.StateNew)
		idle.connState(serverConn, http.StateActive)
		idle.connState(serverConn, http.StateIdle)
		time.Sleep(59 * time.Second)
		idle.connState(serverConn, http.StateActive)
		time.Sleep(time.Hour)
		checkOpen("during a request")
		limit = 15 * time.Second
		idle.connState(serverConn, http.StateIdle)
		time.Sleep(14 * time.Second)
		checkOpen("before the limit")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		select {
		case <-closed:
		default:
			t.Error("open after the limit")
		}
		idle.connState(serverConn, http.StateClosed)
		if len(idle.timers) != 0 {
			t.Errorf("%d timers are left", len(idle.timers))
		}
	})
}

// Guards against an idle limit that the server does not apply.
func TestFrontAppliesTheIdleLimit(t *testing.T) {
	f, base, _ := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) {
		return gateway.Answer{Kind: gateway.AnswerNoRoute}, true
	})
	f.setLimits(gateway.CallerLimits{IdleTimeout: time.Millisecond})
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
		t.Errorf("%v, %q", err, answer)
	}
}

// Guards against published limits that are reset by a configuration that does
// not state them.
func TestUnstatedLimitsStay(t *testing.T) {
	f, _, _ := startCallerServer(t, nil)
	f.setLimits(gateway.CallerLimits{MaxHeaderBytes: 100, MaxBodyBytes: 200, IdleTimeout: time.Second})
	f.setLimits(gateway.CallerLimits{MaxBodyBytes: 300})
	if got, want := *f.limits.Load(), (gateway.CallerLimits{MaxHeaderBytes: 100, MaxBodyBytes: 300, IdleTimeout: time.Second}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against heads over the published limit that reach the core, and against
// heads at the limit that are turned away.
func TestHeadsOverThePublishedLimitAreRefused(t *testing.T) {
	f, base, inputs := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) {
		return gateway.Answer{Kind: gateway.AnswerNoRoute}, true
	})
	const head = "GET /x HTTP/1.1\r\nHost: h\r\nX-A: 1234567\r\n\r\n"
	f.setLimits(gateway.CallerLimits{MaxHeaderBytes: len(head)})
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
			t.Errorf("%q more: status %s, want %s", extra, resp.Status, want)
		}
	}
	if len(inputs) != 1 {
		t.Errorf("%d requests reached the core, want the one that fits", len(inputs))
	}
}
