package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
)

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
	answer, err := http.DefaultClient.Do(r)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s: %v %v", path, answer, err)
	}
	_ = answer.Body.Close()
}

type reading struct {
	status int
	body   string
	index  string
}

// get returns a zero reading for a broken connection.
func get(s *Server, endpoint int, path string) reading {
	answer, err := http.Get("http://" + s.started.Endpoints[endpoint] + path)
	if err != nil {
		return reading{}
	}
	defer func() { _ = answer.Body.Close() }()
	body, _ := io.ReadAll(answer.Body)
	return reading{answer.StatusCode, string(body), answer.Header.Get("X-Consul-Index")}
}

// Guards against a watch that misses a publication or ends without one.
func TestBlockingQuery(t *testing.T) {
	s := start(t)
	if got := get(s, 0, "/v1/kv/set?raw"); got.status != 404 || got.index != "1" {
		t.Fatalf("missing key: %+v", got)
	}
	put(t, s, "/v1/publish/set", "one")
	first := get(s, 0, "/v1/kv/set?raw")
	if first.body != "one" {
		t.Fatalf("first read: %+v", first)
	}
	if got := get(s, 0, "/v1/kv/set?raw&wait=20ms&index="+first.index); got != first {
		t.Fatalf("watch without a change: %+v, want %+v", got, first)
	}
	done := make(chan reading)
	go func() { done <- get(s, 0, "/v1/kv/set?raw&wait=10s&index="+first.index) }()
	put(t, s, "/v1/publish/set", "two")
	if got := <-done; got.body != "two" || got.index == first.index {
		t.Fatalf("watch over a change: %+v", got)
	}
}

// Guards against an endpoint whose faults leak to another one, and against a
// watch that survives the loss of the service.
func TestFaultsOfOneEndpoint(t *testing.T) {
	s := start(t)
	put(t, s, "/v1/publish/set", "one")
	index := get(s, 0, "/v1/kv/set?raw").index
	waiting := make(chan reading)
	go func() { waiting <- get(s, 0, "/v1/kv/set?raw&wait=10s&index="+index) }()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		n := 0
		s.endpoints[0].count(func(c *Counts) { n = c.KV })
		if n == 2 || time.Now().After(end) {
			break
		}
	}
	put(t, s, "/v1/faults", `{"endpoints":[0],"faults":{"down":true}}`)
	if got := <-waiting; got != (reading{}) {
		t.Fatalf("watch on a service that went down: %+v", got)
	}
	put(t, s, "/v1/faults", `{"endpoints":[0],"faults":{"stale":true}}`)
	put(t, s, "/v1/faults", `{"endpoints":[1],"faults":{"own":{"set":"other"}}}`)
	put(t, s, "/v1/publish/set", "two")
	if a, b := get(s, 0, "/v1/kv/set?raw"), get(s, 1, "/v1/kv/set?raw"); a.body != "one" || b.body != "other" {
		t.Fatalf("stale endpoint %+v, endpoint with its own value %+v", a, b)
	}
	index = get(s, 1, "/v1/kv/set?raw").index
	put(t, s, "/v1/faults", `{"endpoints":[1],"faults":{"own":{"set":"third"}}}`)
	if got := get(s, 1, "/v1/kv/set?raw&wait=10s&index="+index); got.body != "third" {
		t.Fatalf("watch over a change of the endpoint's own value: %+v", got)
	}
}

// Guards against a list that lacks what an instance needs to reach another.
func TestInstanceList(t *testing.T) {
	s := start(t)
	put(t, s, "/v1/instances/galenadyke", `[{"id":"e1","address":"127.0.0.2:90","place":"yaba","leaving":true}]`)
	var list []serviceEntry
	if err := json.Unmarshal([]byte(get(s, 0, "/v1/health/service/galenadyke").body), &list); err != nil {
		t.Fatal(err)
	}
	if len(list) != 1 {
		t.Fatalf("%+v", list)
	}
	got := list[0].Service
	if got.ID != "e1" || got.Address != "127.0.0.2" || got.Port != 90 || got.Meta["place"] != "yaba" || got.Meta["leaving"] != "true" {
		t.Fatalf("%+v", got)
	}
}
