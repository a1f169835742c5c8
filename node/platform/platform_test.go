package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder implements Log and Metrics and records the log calls.
type recorder struct {
	mu    sync.Mutex
	lines []string
}

func (r *recorder) add(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *recorder) drainLines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := r.lines
	r.lines = nil
	return lines
}

func (r *recorder) ReadFailed(source string, _ error)    { r.add("failed: " + source) }
func (r *recorder) SetRefused(source string, f []string) { r.add("refused: " + source) }
func (r *recorder) EntryRefused(entry, reason string)    { r.add("entry " + entry + ": " + reason) }
func (r *recorder) ConfigRead(bool)                      {}
func (r *recorder) ListRead(bool)                        {}

// bundle returns the bundle of an example set.
func bundle(t *testing.T) []byte {
	source, findings := objects.Load([]string{"../../examples/lagos"})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	raw, err := objects.Bundle(source.Set, 3)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against a watch that waits for an index from before a restore of Consul's data,
// an invalid value that ends the reading, and an answer from another service that counts
// as a confirmation of the set in force.
func TestReadConfig(t *testing.T) {
	good := bundle(t)
	set, _ := objects.Parse(good)
	for _, c := range []struct {
		name   string
		read   model.ReadConfig
		status int
		index  string
		body   string
		want   model.ConfigResult
		logged []string
	}{
		{"first read", model.ReadConfig{}, 200, "5", string(good), model.ConfigResult{OK: true, Index: 5, Raw: good, Set: set}, nil},
		{"no change", model.ReadConfig{Index: 5, Wait: time.Second}, 200, "5", string(good), model.ConfigResult{OK: true, Index: 5}, nil},
		{"change", model.ReadConfig{Index: 5, Wait: time.Second}, 200, "9", string(good), model.ConfigResult{OK: true, Index: 9, Raw: good, Set: set}, nil},
		{"index goes back", model.ReadConfig{Index: 5, Wait: time.Second}, 200, "2", string(good), model.ConfigResult{OK: true, Raw: good, Set: set}, nil},
		{"invalid value", model.ReadConfig{}, 200, "6", `{"generation":4}`, model.ConfigResult{OK: true, Index: 6}, []string{"refused: configuration service"}},
		{"no such key", model.ReadConfig{}, 404, "7", "", model.ConfigResult{OK: true, Index: 7}, []string{"refused: configuration service"}},
		{"404 from another service", model.ReadConfig{}, 404, "", "", model.ConfigResult{}, []string{"failed: configuration service"}},
		{"status 500", model.ReadConfig{Index: 5}, 500, "7", "", model.ConfigResult{}, []string{"failed: configuration service"}},
		{"redirect", model.ReadConfig{}, 302, "7", "", model.ConfigResult{}, []string{"failed: configuration service"}},
		{"too large", model.ReadConfig{}, 200, "7", strings.Repeat(" ", maxValueBytes+1), model.ConfigResult{}, []string{"failed: configuration service"}},
	} {
		var requested string
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requested = r.URL.Path + " " + r.URL.Query().Get("index") + " " + r.URL.Query().Get("wait")
			if !r.URL.Query().Has("raw") {
				t.Error("the query has no parameter raw")
			}
			if c.index != "" {
				w.Header().Set("X-Consul-Index", c.index)
			}
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		log := &recorder{}
		inputs := make(chan model.Input, 1)
		r := NewConfigReader(s.URL+"/", "galenadyke/set", func(in model.Input) bool { inputs <- in; return true }, log, log)
		r.Read(c.read)
		if diff := cmp.Diff(model.Input(c.want), <-inputs); diff != "" {
			t.Errorf("%s: input (-want +got):\n%s", c.name, diff)
		}
		r.Close()
		s.Close()
		if diff := cmp.Diff(c.logged, log.drainLines()); diff != "" {
			t.Errorf("%s: log (-want +got):\n%s", c.name, diff)
		}
		want := "/v1/kv/galenadyke/set  "
		if c.read.Index > 0 {
			want = fmt.Sprintf("/v1/kv/galenadyke/set %d %dms", c.read.Index, c.read.Wait.Milliseconds())
		}
		if requested != want {
			t.Errorf("%s: got request %q, want %q", c.name, requested, want)
		}
	}
}

// Guards against a read that continues after Close, which would block the stop of
// the process.
func TestCloseEndsAWatch(t *testing.T) {
	arrived := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	defer s.Close()
	log := &recorder{}
	inputs := make(chan model.Input, 1)
	r := NewConfigReader(s.URL, "k", func(in model.Input) bool { inputs <- in; return true }, log, log)
	r.Read(model.ReadConfig{Index: 1, Wait: time.Hour})
	<-arrived
	r.Close()
	if diff := cmp.Diff(model.Input(model.ConfigResult{}), <-inputs); diff != "" || len(log.drainLines()) != 0 {
		t.Error(diff)
	}
}

// Guards against host names and critical entries in the list, a failed read that
// looks like an empty list, and a watch that ends after a failure.
func TestWatchInstances(t *testing.T) {
	const list = `[{"Service":{"ID":"b","Address":"10.0.0.2","Port":81,"Meta":{"place":"yaba","leaving":"true"}},"Checks":[{"Status":"passing"}]},
		{"Service":{"ID":"a","Address":"::1","Port":80,"Meta":{"place":"ikeja"}}},
		{"Service":{"ID":"c","Address":"c.example","Port":80}},
		{"Service":{"ID":"d","Address":"10.0.0.4","Port":80},"Checks":[{"Status":"passing"},{"Status":"critical"}]}]`
	requested := make(chan string, 8)
	answers := make(chan func(http.ResponseWriter), 8)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested <- r.URL.RequestURI()
		select {
		case answer := <-answers:
			answer(w)
		case <-r.Context().Done():
		}
	}))
	defer s.Close()
	answers <- func(w http.ResponseWriter) { w.Header().Set("X-Consul-Index", "4"); _, _ = io.WriteString(w, list) }
	answers <- func(w http.ResponseWriter) { w.WriteHeader(500) }
	answers <- func(w http.ResponseWriter) { w.Header().Set("X-Consul-Index", "4"); _, _ = io.WriteString(w, "[]") }
	log := &recorder{}
	inputs := make(chan model.Input, 8)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		NewInstanceWatcher(s.URL, "galenadyke", func(in model.Input) bool { inputs <- in; return true }, log, log).Run(ctx)
	}()
	want := []model.Input{
		model.InstanceList{OK: true, Instances: []model.InstanceInfo{
			{ID: "a", Address: "[::1]:80", Place: "ikeja"}, {ID: "b", Address: "10.0.0.2:81", Place: "yaba", Leaving: true}}},
		model.InstanceList{},
		model.InstanceList{OK: true, Instances: []model.InstanceInfo{}},
	}
	for _, w := range want {
		if diff := cmp.Diff(w, <-inputs); diff != "" {
			t.Error(diff)
		}
	}
	const path = "/v1/health/service/galenadyke"
	for _, w := range []string{path, path + "?index=4&wait=60000ms", path, path + "?index=4&wait=60000ms"} {
		if got := <-requested; got != w {
			t.Errorf("got request %q, want %q", got, w)
		}
	}
	cancel()
	<-done
	if diff := cmp.Diff([]string{"entry c: its address is not an IP address with a port; correct the registration",
		"entry d: its check is critical", "failed: instance list"}, log.drainLines()); diff != "" {
		t.Error(diff)
	}
}
