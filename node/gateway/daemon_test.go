package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	core "galenadyke.dev/core/gateway"
	"galenadyke.dev/node/gateway"
	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform"
	"galenadyke.dev/platform/platformtest"
)

// fixture is a store, two shards and an instance that serves them, on loopback.
type fixture struct {
	base string     // URL of the address for callers, without a path
	mu   sync.Mutex // guards traceparents
	// traceparents has the Traceparent header of each request that reached a target.
	traceparents []string
}

// startFixture starts the store, the shards and a daemon. adjust, which must not be nil,
// changes the settings of the daemon before the start.
func startFixture(t *testing.T, adjust func(*settings.Gateway)) *fixture {
	t.Helper()
	f := &fixture{}
	store := platformtest.NewStore(500)
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	for _, shard := range []string{"a", "b"} {
		s := platformtest.NewServer(shard+"-0", shard, "ikeja", 0, []byte(strings.Repeat(shard, 16)))
		h := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.traceparents = append(f.traceparents, strings.Join(r.Header["Traceparent"], "+"))
			f.mu.Unlock()
			s.ServeHTTP(rw, r)
		}))
		t.Cleanup(h.Close)
		store.Put("servers/"+s.ID, s.Entry(strings.TrimPrefix(h.URL, "http://"), "ready", 1))
	}
	store.Put("op/config", `{"version":1,"routes":[{"name":"all","hostname":"h","prefix":"/all/","route_type":"safe",
"timeout_ms":5000,"target_latency_ms":4000,"priority":1,"gather":["a","b"],"max_attempts":2,"top_k":2,"min_coverage":1}],
"services":[{"name":"a","max_connections":9},{"name":"b","max_connections":9}],"limits":{}}`)
	_, s := startDaemon(t, "front-0", "ikeja", storeServer.URL, adjust)
	f.base = "http://" + s.CallerListen
	return f
}

// testPlatform returns the adapter of the users' platform.
func testPlatform() gateway.Platform {
	return gateway.Platform{Protocol: platform.Protocol{},
		OpenStore: func(address string, firstStart bool, submit func(core.Input) bool, log gateway.Log) gateway.Store {
			return platform.NewStore(address, firstStart, submit, log)
		}}
}

// daemonSettings returns the settings of an instance in a data centre, with addresses that no
// other test uses. adjust changes them.
func daemonSettings(name, place, storeURL string, adjust func(*settings.Gateway)) settings.Gateway {
	s := settings.GatewayDefaults()
	s.Instance, s.Place, s.Store = name, place, strings.TrimPrefix(storeURL, "http://")
	ip := ownAddress()
	s.CallerListen, s.ReadyListen, s.ControlListen, s.PeerListen = ip+":8000", ip+":8001", ip+":8002", ip+":8003"
	adjust(&s)
	return s
}

// startDaemon starts an instance in a data centre and returns it with its settings. adjust
// changes the settings before the start.
func startDaemon(t *testing.T, name, place, storeURL string, adjust func(*settings.Gateway)) (*gateway.Daemon, settings.Gateway) {
	t.Helper()
	s := daemonSettings(name, place, storeURL, adjust)
	d, err := gateway.New(s, testPlatform(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	d.Start()
	t.Cleanup(d.Close)
	return d, s
}

var addresses atomic.Uint32

// ownAddress returns a loopback address that no other test uses, not even a test of
// another process.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8%64, 1+pid%250, addresses.Add(1))
}

// requestUntilServed repeats a request until it succeeds, as the instance answers with
// status 503 until it knows its configuration.
func (f *fixture) requestUntilServed(t *testing.T, header http.Header) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.base+"/all/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.Header = "h", header
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			if want := strings.Repeat("b", 16) + strings.Repeat("a", 16); string(body) != want {
				t.Errorf("got body %q, want %q", body, want)
			}
			return
		case resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(deadline):
			t.Fatalf("got status %d, error %v, body %q, want status 200 within 20 s, and only 503 before", resp.StatusCode, err, body)
		}
	}
}

const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Guards against spans of attempts whose parent is the caller's span instead of the
// instance's, and against targets that get more than one traceparent.
func TestSpansOfARequestAreOneTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans")
	t.Run("serve", func(t *testing.T) {
		f := startFixture(t, func(s *settings.Gateway) { s.SpanExporter, s.SpanFile = settings.ExporterFile, file })
		f.requestUntilServed(t, http.Header{"Galenadyke-Attempt-Id": {"r1"}, "Traceparent": {callerTraceparent}})
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, got := range f.traceparents {
			if len(got) != len(callerTraceparent) || got == callerTraceparent || got[:36] != callerTraceparent[:36] {
				t.Errorf("a target got traceparent %q, want one of the caller's trace with a span of the instance", got)
			}
		}
	})
	spanFile, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer spanFile.Close()
	type span struct {
		Name                string
		SpanContext, Parent struct{ TraceID, SpanID string }
	}
	var request span
	attemptSpans := map[string]int{} // number of spans by the ID of their parent
	for in := json.NewDecoder(spanFile); ; {
		var s span
		if err := in.Decode(&s); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(callerTraceparent, s.SpanContext.TraceID) {
			t.Errorf("span %s: got trace %s, want that of the caller", s.Name, s.SpanContext.TraceID)
		}
		if s.Name == "request" {
			request = s // the last request is the one that was served
		} else {
			attemptSpans[s.Parent.SpanID]++
		}
	}
	if !strings.Contains(callerTraceparent, request.Parent.SpanID) || attemptSpans[request.SpanContext.SpanID] != 2 {
		t.Errorf("got request span %+v and attempts by parent %v, want 2 attempts below the request and the request below the caller", request, attemptSpans)
	}
}

// Guards against an instance that exports no spans and drops the caller's traceparent.
func TestTraceparentIsForwardedWithoutSpans(t *testing.T) {
	f := startFixture(t, func(*settings.Gateway) {})
	f.requestUntilServed(t, http.Header{"Galenadyke-Attempt-Id": {"r1"}, "Traceparent": {callerTraceparent}})
	f.mu.Lock()
	defer f.mu.Unlock()
	if got, want := fmt.Sprint(f.traceparents), fmt.Sprint([]string{callerTraceparent, callerTraceparent}); got != want {
		t.Errorf("targets got traceparents %s, want the caller's twice", got)
	}
}
