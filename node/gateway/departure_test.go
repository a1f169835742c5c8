package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform/platformtest"
)

// Guards against requests to a server that has left, after a late write of the store: at an
// instance that saw it leave, and at one that started between its departure and the write.
func TestLateWriteDoesNotReturnADepartedServer(t *testing.T) {
	store := platformtest.NewStore(500)
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	server := func(id string) (*platformtest.Server, func(seq int)) {
		s := platformtest.NewServer(id, "a", "ikeja", 0, make([]byte, 16))
		h := httptest.NewServer(s)
		t.Cleanup(h.Close)
		return s, func(seq int) {
			store.Put("servers/"+id, s.Entry(strings.TrimPrefix(h.URL, "http://"), "ready", seq))
		}
	}
	leaver, reportLeaver := server("a-0")
	_, reportOther := server("a-1")
	marker, reportMarker := server("a-2")
	reportLeaver(9)
	reportOther(1)
	store.Put("op/config", `{"version":1,"routes":[{"name":"r","hostname":"h","prefix":"/p/","route_type":"safe",
"timeout_ms":5000,"target_latency_ms":4000,"priority":1,"service":"a","max_attempts":2}],"services":[{"name":"a","max_connections":99}],"limits":{}}`)
	requests := 0
	send := func(s settings.Gateway) bool {
		requests++
		return sendPlain(t, s, fmt.Sprintf("r%d", requests))
	}
	// sendUntil sends requests until the condition holds.
	sendUntil := func(s settings.Gateway, event string, condition func(served bool) bool) {
		for deadline := time.Now().Add(20 * time.Second); !condition(send(s)); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("instance %s: %s: not seen within 20 s", s.Instance, event)
			}
		}
	}

	_, first := startDaemon(t, "front-0", "ikeja", storeServer.URL, func(*settings.Gateway) {})
	sendUntil(first, "a request at the server that will leave", func(bool) bool { return len(leaver.ExecutionTimes("")) > 0 })
	store.Delete("servers/a-0")
	// The instance has seen the removal once it uses a server that registered later.
	reportMarker(1)
	sendUntil(first, "a request at the server that registered later", func(bool) bool { return len(marker.ExecutionTimes("")) > 0 })
	_, second := startDaemon(t, "front-1", "ikeja", storeServer.URL, func(s *settings.Gateway) { s.Seeds = []string{first.ControlListen} })
	sendUntil(second, "an answer", func(served bool) bool { return served })

	before := len(leaver.ExecutionTimes(""))
	reportLeaver(4)
	last, reportLast := server("a-3")
	reportLast(1)
	for _, s := range []settings.Gateway{first, second} {
		seen := len(last.ExecutionTimes(""))
		sendUntil(s, "a request at the server that registered after the late write", func(bool) bool { return len(last.ExecutionTimes("")) > seen })
		for range 50 {
			send(s)
		}
		if got := len(leaver.ExecutionTimes("")) - before; got > 0 {
			t.Errorf("instance %s sent %d requests to a server that had left, want none", s.Instance, got)
		}
	}

	reportLeaver(10)
	sendUntil(second, "a request at the server after a later report", func(bool) bool { return len(leaver.ExecutionTimes("")) > before })
}

// Guards against requests to a server after one of its answers has stated that it leaves, while
// its entry is still ready.
func TestLeavingServerGetsNoNewRequest(t *testing.T) {
	storeURL, leaver := startOneServerOfType(t, "unsafe", time.Second, 0)
	_, s := startDaemon(t, "front-0", "ikeja", storeURL, func(*settings.Gateway) {})
	waitReady(t, s)
	leaver.SetLeaving(true)
	for i := 0; !sendPlain(t, s, fmt.Sprintf("first%d", i)); i++ {
		if i > 1000 {
			t.Fatal("no request was served")
		}
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 20 {
		if sendPlain(t, s, fmt.Sprintf("later%d", i)) {
			t.Error("a request was served by a server that leaves")
		}
	}
	if got := len(leaver.ExecutionTimes("later")); got > 0 {
		t.Errorf("the server got %d requests after it had stated that it leaves, want none", got)
	}
}

// sendPlain sends a request with an ID at /p/ of an instance, and reports whether it was served.
func sendPlain(t *testing.T, s settings.Gateway, id string) bool {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.CallerListen+"/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Galenadyke-Attempt-Id", id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Guards against requests to a server in the time for which it wants nothing, and against
// callers that wait or are not told when to come back.
func TestPausedServerGetsNoRequest(t *testing.T) {
	const pause = 1500 * time.Millisecond
	storeURL, server := startOneServerOfType(t, "safe", time.Second, 0)
	_, s := startDaemon(t, "front-0", "ikeja", storeURL, func(*settings.Gateway) {})
	waitReady(t, s)
	server.SetShedding(true, "1.5")
	for i := 0; server.Arrivals() == 0; i++ {
		sendPlain(t, s, fmt.Sprintf("first%d", i))
	}
	turnedAway := time.Now()
	before := server.Arrivals()
	for i := 0; time.Since(turnedAway) < pause-200*time.Millisecond; i++ {
		status, retryAfter := post(t, "http://"+s.CallerListen+"/p/x", fmt.Sprintf("paused%d", i), "")
		if seconds, err := strconv.ParseFloat(retryAfter, 64); err != nil || status != http.StatusServiceUnavailable ||
			time.Since(turnedAway)+time.Duration(seconds*float64(time.Second)) < pause-100*time.Millisecond {
			t.Fatalf("%v after the server asked for a pause: got status %d, Retry-After %q, want 503 until its end", time.Since(turnedAway), status, retryAfter)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got := server.Arrivals() - before; got > 0 {
		t.Errorf("the server got %d requests in its pause, want none", got)
	}
	server.SetShedding(false, "")
	for i := 0; !sendPlain(t, s, fmt.Sprintf("later%d", i)); i++ {
		if time.Since(turnedAway) > 20*time.Second {
			t.Fatal("no request was served after the pause")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
