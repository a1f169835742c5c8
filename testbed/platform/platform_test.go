package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
)

// start starts a process with two endpoints.
func start(t *testing.T) *Server {
	t.Helper()
	s, err := Start(Config{Control: "127.0.0.1:0", Listen: []string{"127.0.0.1:0", "127.0.0.1:0"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func put(t *testing.T, s *Server, path, body string) {
	t.Helper()
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.started.Control+path, bytes.NewReader([]byte(body)))
	resp, err := http.DefaultClient.Do(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s: got answer %v, error %v; want status 200", path, resp, err)
	}
	_ = resp.Body.Close()
}

type response struct {
	status int
	body   string
	index  string
}

// get reads from one endpoint. It returns a zero response for a broken
// connection.
func get(s *Server, endpoint int, path string) response {
	resp, err := http.Get("http://" + s.started.Endpoints[endpoint] + path)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(body), resp.Header.Get("X-Consul-Index")}
}

// Guards against a blocking query that misses a publication, or that does not
// return the current value when its wait ends without a publication.
func TestBlockingQuery(t *testing.T) {
	s := start(t)
	if got := get(s, 0, "/v1/kv/set?raw"); got.status != 404 || got.index != "1" {
		t.Fatalf("missing key: got %+v, want status 404 and index 1", got)
	}
	put(t, s, "/v1/publish/set", "one")
	first := get(s, 0, "/v1/kv/set?raw")
	if first.body != "one" {
		t.Fatalf("first read: got %+v, want body one", first)
	}
	if got := get(s, 0, "/v1/kv/set?raw&wait=20ms&index="+first.index); got != first {
		t.Fatalf("blocking query without a change: got %+v, want %+v", got, first)
	}
	done := make(chan response)
	go func() { done <- get(s, 0, "/v1/kv/set?raw&wait=10s&index="+first.index) }()
	put(t, s, "/v1/publish/set", "two")
	if got := <-done; got.body != "two" || got.index == first.index {
		t.Fatalf("blocking query during a change: got %+v, want body two and a new index", got)
	}
}

// Guards against faults at one endpoint that affect another, and against a
// blocking query that keeps waiting when its endpoint goes down.
func TestFaultsOfOneEndpoint(t *testing.T) {
	s := start(t)
	put(t, s, "/v1/publish/set", "one")
	index := get(s, 0, "/v1/kv/set?raw").index
	waitingRead := make(chan response)
	go func() { waitingRead <- get(s, 0, "/v1/kv/set?raw&wait=10s&index="+index) }()
	// Wait until the endpoint has received the blocking query, its second read.
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		reads := 0
		s.endpoints[0].withCounts(func(c *Counts) { reads = c.KV })
		if reads == 2 || time.Now().After(deadline) {
			break
		}
	}
	put(t, s, "/v1/faults", `{"endpoints":[0],"faults":{"down":true}}`)
	if got := <-waitingRead; got != (response{}) {
		t.Fatalf("blocking query on an endpoint that went down: got %+v, want a broken connection", got)
	}
	put(t, s, "/v1/faults", `{"endpoints":[0],"faults":{"stale":true}}`)
	put(t, s, "/v1/faults", `{"endpoints":[1],"faults":{"own":{"set":"other"}}}`)
	put(t, s, "/v1/publish/set", "two")
	if a, b := get(s, 0, "/v1/kv/set?raw"), get(s, 1, "/v1/kv/set?raw"); a.body != "one" || b.body != "other" {
		t.Fatalf("stale endpoint: got %+v, want body one; endpoint with an overriding value: got %+v, want body other", a, b)
	}
	index = get(s, 1, "/v1/kv/set?raw").index
	put(t, s, "/v1/faults", `{"endpoints":[1],"faults":{"own":{"set":"third"}}}`)
	if got := get(s, 1, "/v1/kv/set?raw&wait=10s&index="+index); got.body != "third" {
		t.Fatalf("blocking query during a change of the overriding value: got %+v, want body third", got)
	}
}

// Guards against an instance list without the data by which instances reach each
// other.
func TestInstanceList(t *testing.T) {
	s := start(t)
	put(t, s, "/v1/instances/galenadyke", `[{"id":"e1","address":"127.0.0.2:90","place":"yaba","leaving":true}]`)
	var list []serviceEntry
	if err := json.Unmarshal([]byte(get(s, 0, "/v1/health/service/galenadyke").body), &list); err != nil {
		t.Fatal(err)
	}
	if len(list) != 1 {
		t.Fatalf("instance list: got %+v, want 1 entry", list)
	}
	got := list[0].Service
	if got.ID != "e1" || got.Address != "127.0.0.2" || got.Port != 90 || got.Meta["place"] != "yaba" || got.Meta["leaving"] != "true" {
		t.Fatalf("service entry: got %+v, want ID e1, address 127.0.0.2, port 90, place yaba and leaving true", got)
	}
}
