package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/node/settings"
	"galenadyke.dev/platform/platformtest"
)

// startFourShards starts a store with a gathering route at /all/ over the shards a to d, and
// a server of each in the data centre given, which answers after the delay. It returns the URL
// of the store.
func startFourShards(t *testing.T, delay time.Duration, places ...string) string {
	t.Helper()
	store := platformtest.NewStore(500)
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	for i, shard := range []string{"a", "b", "c", "d"} {
		s := platformtest.NewServer(shard+"-0", shard, places[i], delay, []byte(strings.Repeat(shard, 16)))
		h := httptest.NewServer(s)
		t.Cleanup(h.Close)
		store.Put("servers/"+s.ID, s.Entry(strings.TrimPrefix(h.URL, "http://"), "ready", 1))
	}
	store.Put("op/config", `{"version":1,"routes":[{"name":"all","hostname":"h","prefix":"/all/","route_type":"safe",
"timeout_ms":5000,"target_latency_ms":4000,"priority":1,"gather":["a","b","c","d"],"max_attempts":2,"top_k":3,"min_coverage":1}],
"services":[{"name":"a","max_connections":99},{"name":"b","max_connections":99},{"name":"c","max_connections":99},{"name":"d","max_connections":99}],"limits":{}}`)
	return storeServer.URL
}

// Guards against parts, records or stamps that are lost between two instances: a request
// over shards in two data centres is answered completely, with one batch to the instance in
// the other data centre, and each server gets it once.
func TestBatchIsForwardedBetweenInstances(t *testing.T) {
	storeURL := startFourShards(t, 0, "ikeja", "ikeja", "lekki", "lekki")
	_, far := startDaemon(t, "front-1", "lekki", storeURL, func(*settings.Gateway) {})
	_, near := startDaemon(t, "front-0", "ikeja", storeURL, func(s *settings.Gateway) { s.Seeds = []string{far.ControlListen} })

	for i := 0; ; i++ {
		resp, body := get(t, "http://"+near.CallerListen+"/all/x", fmt.Sprint("r", i))
		if resp.StatusCode == http.StatusOK {
			want := strings.Repeat("d", 16) + strings.Repeat("c", 16) + strings.Repeat("b", 16)
			if stamps := strings.Split(resp.Header.Get("Galenadyke-Part-Stamps"), ","); string(body) != want || len(stamps) != 4 {
				t.Fatalf("got body %q with stamps %v, want %q with 4 stamps", body, stamps, want)
			}
			if metric(t, near.ControlListen, `gateway_forwarded{of="success"}`) > 0 {
				break
			}
		}
		if i > 500 {
			t.Fatalf("no batch was forwarded in %d requests; last status %d, body %q", i, resp.StatusCode, body)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// get sends a request for host h with an attempt ID, and returns the answer and its body.
func get(t *testing.T, url, id string) (*http.Response, []byte) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.Header = "h", http.Header{"Galenadyke-Attempt-Id": {id}}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

// metric returns the value of a metric of an instance, 0 if it has none.
func metric(t *testing.T, address, name string) int {
	t.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			if _, err := fmt.Sscan(rest, &value); err != nil {
				t.Fatal(err)
			}
		}
	}
	return value
}
