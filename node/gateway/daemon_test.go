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

// fixture is a store and two shards on loopback, and an instance before them.
type fixture struct {
	base string // of the callers' address
	mu   sync.Mutex
	// parents are the traceparents that the targets got.
	parents []string
}

// startFixture starts a daemon with the settings that change makes.
func startFixture(t *testing.T, change func(*settings.Gateway)) *fixture {
	t.Helper()
	w := &fixture{}
	store := platformtest.NewStore(500)
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	for _, shard := range []string{"a", "b"} {
		s := platformtest.NewServer(shard+"-0", shard, "ikeja", 0, []byte(strings.Repeat(shard, 16)))
		h := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			w.mu.Lock()
			w.parents = append(w.parents, strings.Join(r.Header["Traceparent"], "+"))
			w.mu.Unlock()
			s.ServeHTTP(rw, r)
		}))
		t.Cleanup(h.Close)
		store.Put("servers/"+s.ID, s.Entry(strings.TrimPrefix(h.URL, "http://"), "ready", 1))
	}
	store.Put("op/config", `{"version":1,"routes":[{"name":"all","hostname":"h","prefix":"/all/","route_type":"safe",
"timeout_ms":5000,"target_latency_ms":4000,"priority":1,"gather":["a","b"],"max_attempts":2,"top_k":2,"min_coverage":1}],
"services":[{"name":"a","max_connections":9},{"name":"b","max_connections":9}],"limits":{}}`)
	s := settings.GatewayDefaults()
	s.Instance, s.Place, s.Store = "front-0", "ikeja", strings.TrimPrefix(storeServer.URL, "http://")
	ip := ownAddress()
	s.CallerListen, s.ReadyListen, s.ControlListen, s.PeerListen = ip+":8000", ip+":8001", ip+":8002", ip+":8003"
	change(&s)
	d, err := gateway.New(s, gateway.Platform{Protocol: platform.Protocol{},
		OpenStore: func(address string, submit func(core.Input) bool, log gateway.Log) gateway.Store {
			return platform.NewStore(address, submit, log)
		}}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	d.Start()
	t.Cleanup(d.Close)
	w.base = "http://" + s.CallerListen
	return w
}

var addresses atomic.Uint32

// ownAddress returns an address of loopback that no other test uses, also not one
// of another process.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8%64, 1+pid%250, addresses.Add(1))
}

// requestUntilServed sends a request until the instance knows its configuration.
func (w *fixture) requestUntilServed(t *testing.T, header http.Header) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, w.base+"/all/x", nil)
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
				t.Errorf("%q, want %q", body, want)
			}
			return
		case resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(deadline):
			t.Fatalf("status %d, %v: %s", resp.StatusCode, err, body)
		}
	}
}

const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Guards against attempts whose spans hang below the caller's span instead of
// the instance's, and against a traceparent that reaches targets twice.
func TestSpansOfARequestAreOneTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans")
	t.Run("serve", func(t *testing.T) {
		w := startFixture(t, func(s *settings.Gateway) { s.SpanExporter, s.SpanFile = settings.ExporterFile, file })
		w.requestUntilServed(t, http.Header{"Galenadyke-Attempt-Id": {"r1"}, "Traceparent": {callerTraceparent}})
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, parent := range w.parents {
			if len(parent) != len(callerTraceparent) || parent == callerTraceparent || parent[:36] != callerTraceparent[:36] {
				t.Errorf("a target got traceparent %q", parent)
			}
		}
	})
	raw, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	type span struct {
		Name                string
		SpanContext, Parent struct{ TraceID, SpanID string }
	}
	var request span
	below := map[string]int{} // spans of targets by their parent
	for in := json.NewDecoder(raw); ; {
		var s span
		if err := in.Decode(&s); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(callerTraceparent, s.SpanContext.TraceID) {
			t.Errorf("%s is in trace %s", s.Name, s.SpanContext.TraceID)
		}
		if s.Name == "request" {
			request = s // the last one is the one that was served
		} else {
			below[s.Parent.SpanID]++
		}
	}
	if !strings.Contains(callerTraceparent, request.Parent.SpanID) || below[request.SpanContext.SpanID] != 2 {
		t.Errorf("request %+v, targets below %v", request, below)
	}
}

// Guards against a caller's traceparent that is dropped by an instance that
// exports no spans.
func TestTraceparentPassesWithoutSpans(t *testing.T) {
	w := startFixture(t, func(*settings.Gateway) {})
	w.requestUntilServed(t, http.Header{"Galenadyke-Attempt-Id": {"r1"}, "Traceparent": {callerTraceparent}})
	w.mu.Lock()
	defer w.mu.Unlock()
	if got, want := fmt.Sprint(w.parents), fmt.Sprint([]string{callerTraceparent, callerTraceparent}); got != want {
		t.Errorf("targets got %s", got)
	}
}
