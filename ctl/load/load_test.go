package load

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/subcommands"
)

// tier is a fake instance whose bookings lie as set.
type tier struct {
	*httptest.Server
	searches atomic.Int64
	stall    time.Duration // of the first search

	mu  sync.Mutex
	ran map[string]int
	n   int
}

func newTier(t *testing.T, stall time.Duration) *tier {
	f := &tier{stall: stall, ran: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", func(w http.ResponseWriter, _ *http.Request) {
		n := f.searches.Add(1)
		if n == 1 {
			time.Sleep(f.stall)
		}
		switch n % 4 {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"error":{"id":"GD-204","kind":"Overloaded","execution":"not_run"}}`)
		default:
			_, _ = fmt.Fprint(w, `{"coverage":{"searched":3,"total":4},"stats":{"sub_requests":10,"hedges":1,"retries":2}}`)
		}
	})
	mux.HandleFunc("POST /v1/booking-ids", func(w http.ResponseWriter, r *http.Request) {
		var req bookingIDsRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		f.mu.Lock()
		defer f.mu.Unlock()
		var a bookingIDsAnswer
		for range req.Count {
			a.BookingIDs = append(a.BookingIDs, fmt.Sprintf("a.1.%d", f.n))
			f.n++
		}
		_ = json.NewEncoder(w).Encode(a)
	})
	mux.HandleFunc("POST /v1/book", func(w http.ResponseWriter, r *http.Request) {
		var req bookRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ran[req.BookingID]++
		if req.BookingID == "a.1.0" {
			_, _ = fmt.Fprint(w, `{"error":{"id":"GD-303","kind":"TargetOut","execution":"not_run"}}`)
			return
		}
		if req.BookingID == "a.1.1" {
			f.ran[req.BookingID]++
		}
		_, _ = fmt.Fprint(w, `{"execution":"ran"}`)
	})
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"targets": []any{map[string]any{"name": "t", "bookings": f.ran}}})
	})
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

func config(f *tier) Config {
	c := DefaultConfig()
	c.Entries, c.Rate, c.Duration = []string{f.URL}, 200, time.Second
	return c
}

// Guards against a load that differs between two policies under comparison.
func TestScheduleIsFixedBySeed(t *testing.T) {
	c := DefaultConfig()
	c.Entries, c.BookingShare = []string{"a", "b"}, 0.5
	first, again := schedule(c), schedule(c)
	c.Seed = 2
	if !reflect.DeepEqual(first, again) || reflect.DeepEqual(first, schedule(c)) {
		t.Fatal("the schedule must depend on the seed and on nothing else")
	}
	// 500 arrivals are expected; 5 standard deviations are 112.
	if n := len(first); n < 388 || n > 612 {
		t.Fatalf("%d arrivals, want about 500", n)
	}
}

// Guards against a closed loop, in which a stalled call holds back others and
// hides their delay.
func TestLoopIsOpen(t *testing.T) {
	f := newTier(t, time.Second)
	c := config(f)
	c.MaxInFlight = 1
	r, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if r.Dropped < 100 {
		t.Errorf("%d calls dropped while one stalled for the whole run; want most of them counted", r.Dropped)
	}
	if r.Latency.Max < 900 {
		t.Errorf("highest latency %v ms, want the stall of 1 s", r.Latency.Max)
	}
}

// Guards against counts that hide refusals, missing coverage or extra load.
func TestResultCountsWhatHappened(t *testing.T) {
	f := newTier(t, 0)
	r, err := Run(t.Context(), config(f))
	if err != nil {
		t.Fatal(err)
	}
	sent := r.Searches.Sent
	if sent == 0 || r.Searches.Answered+r.Refused != sent || r.Refused != sent/4 || r.Searches.Complete != 0 {
		t.Errorf("%+v with %d refused", r.Searches, r.Refused)
	}
	if r.Searches.MeanCoverage != 0.75 || r.Extra.HedgeShare != 0.1 || r.Extra.RetryShare != 0.2 {
		t.Errorf("coverage %v, extra %+v", r.Searches.MeanCoverage, r.Extra)
	}
	var text, svg bytes.Buffer
	if err := r.WriteText(&text); err != nil || !strings.Contains(text.String(), "GD-204 Overloaded, not_run") {
		t.Errorf("text: %v\n%s", err, text.String())
	}
	if err := r.WriteSVG(&svg); err != nil || !strings.Contains(svg.String(), "<svg") {
		t.Errorf("chart: %v", err)
	}
}

// Guards against a check that misses a booking that ran twice, or that ran
// although the answer said that it had not.
func TestBookingCheckFindsLies(t *testing.T) {
	f := newTier(t, 0)
	c := config(f)
	c.BookingShare, c.TargetCounts = 0.5, []string{f.URL + "/v1/counts"}
	r, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	b := r.Bookings
	if !b.Checked || fmt.Sprint(b.NotRunYetRan) != "[a.1.0]" || fmt.Sprint(b.Twice) != "[a.1.1]" || b.Wrong() != 2 {
		t.Fatalf("%+v", b)
	}
}

// Guards against a command that hides a booking that was answered wrongly, or
// that starts a load with an option that makes no sense.
func TestCommandExitStatus(t *testing.T) {
	f := newTier(t, 0)
	chart := filepath.Join(t.TempDir(), "load.svg")
	base := []string{"--entry", f.URL, "--rate", "100", "--duration", "500ms", "--json", "--svg", chart}
	for _, x := range []struct {
		name string
		args []string
		want subcommands.ExitStatus
	}{
		{"searches", nil, subcommands.ExitSuccess},
		{"wrong bookings", []string{"--bookings", "0.5", "--target-counts", f.URL + "/v1/counts"}, subcommands.ExitFailure},
		{"host name", []string{"--entry", "http://localhost:8080"}, subcommands.ExitUsageError},
		{"unbounded rate", []string{"--rate", "1e9"}, subcommands.ExitUsageError},
		{"argument", []string{"extra"}, subcommands.ExitUsageError},
	} {
		var out, errs bytes.Buffer
		c := NewCommand()
		c.Out, c.Err = &out, &errs
		flags := flag.NewFlagSet(x.name, flag.ContinueOnError)
		c.SetFlags(flags)
		if err := flags.Parse(append(slices.Clone(base), x.args...)); err != nil {
			t.Fatal(err)
		}
		if got := c.Execute(t.Context(), flags); got != x.want {
			t.Errorf("%s: exit status %d, want %d: %s", x.name, got, x.want, errs.String())
		}
		if x.want == subcommands.ExitSuccess && !json.Valid(out.Bytes()) {
			t.Errorf("%s: the output is not JSON: %s", x.name, out.String())
		}
	}
	if svg, err := os.ReadFile(chart); err != nil || !bytes.Contains(svg, []byte("<svg")) {
		t.Errorf("chart: %v", err)
	}
}
