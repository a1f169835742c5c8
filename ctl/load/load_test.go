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

// fakeInstance stands in for an instance and its targets. Every fourth search is
// refused, the others have a coverage of 3/4. Booking a.1.0 runs but is answered
// "not run", and booking a.1.1 runs twice.
type fakeInstance struct {
	*httptest.Server
	searches atomic.Int64
	stall    time.Duration // of the first search

	mu        sync.Mutex
	runCounts map[string]int // by booking id
	issued    int            // booking ids
}

func newFakeInstance(t *testing.T, stall time.Duration) *fakeInstance {
	f := &fakeInstance{stall: stall, runCounts: make(map[string]int)}
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
			a.BookingIDs = append(a.BookingIDs, fmt.Sprintf("a.1.%d", f.issued))
			f.issued++
		}
		_ = json.NewEncoder(w).Encode(a)
	})
	mux.HandleFunc("POST /v1/book", func(w http.ResponseWriter, r *http.Request) {
		var req bookRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.runCounts[req.BookingID]++
		if req.BookingID == "a.1.0" {
			_, _ = fmt.Fprint(w, `{"error":{"id":"GD-303","kind":"TargetOut","execution":"not_run"}}`)
			return
		}
		if req.BookingID == "a.1.1" {
			f.runCounts[req.BookingID]++
		}
		_, _ = fmt.Fprint(w, `{"execution":"ran"}`)
	})
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"targets": []any{map[string]any{"name": "t", "bookings": f.runCounts}}})
	})
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

func testConfig(f *fakeInstance) Config {
	c := DefaultConfig()
	c.Entries, c.Rate, c.Duration = []string{f.URL}, 200, time.Second
	return c
}

// Guards against a load that differs between two policies under comparison.
func TestScheduleIsFixedBySeed(t *testing.T) {
	c := DefaultConfig()
	c.Entries, c.BookingShare = []string{"a", "b"}, 0.5
	first, second := schedule(c), schedule(c)
	c.Seed = 2
	if !reflect.DeepEqual(first, second) || reflect.DeepEqual(first, schedule(c)) {
		t.Fatal("want equal schedules for one seed and different schedules for two")
	}
	// 500 arrivals are expected; 5 standard deviations are 112.
	if n := len(first); n < 388 || n > 612 {
		t.Fatalf("got %d arrivals, want 388 to 612", n)
	}
}

// Guards against a closed loop, in which a stalled call holds back later calls
// and hides their delay.
func TestLoopIsOpen(t *testing.T) {
	f := newFakeInstance(t, time.Second)
	c := testConfig(f)
	c.MaxInFlight = 1
	r, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if r.Dropped < 100 {
		t.Errorf("%d calls dropped while one call stalled for the whole run, want at least 100", r.Dropped)
	}
	if r.Latency.Max < 900 {
		t.Errorf("highest latency %v ms, want at least 900 after a stall of 1 s", r.Latency.Max)
	}
}

// Guards against counts that hide refusals, missing coverage or extra load.
func TestResultCountsRefusalsCoverageAndExtraLoad(t *testing.T) {
	f := newFakeInstance(t, 0)
	r, err := Run(t.Context(), testConfig(f))
	if err != nil {
		t.Fatal(err)
	}
	sent := r.Searches.Sent
	if sent == 0 || r.Searches.Answered+r.Refused != sent || r.Refused != sent/4 || r.Searches.Complete != 0 {
		t.Errorf("searches %+v, %d refused; want a quarter refused, the others answered, none complete", r.Searches, r.Refused)
	}
	if r.Searches.MeanCoverage != 0.75 || r.Extra.HedgeShare != 0.1 || r.Extra.RetryShare != 0.2 {
		t.Errorf("mean coverage %v, extra load %+v; want 0.75, 0.1 hedges and 0.2 retries per sub-request", r.Searches.MeanCoverage, r.Extra)
	}
	var text, svg bytes.Buffer
	if err := r.WriteText(&text); err != nil || !strings.Contains(text.String(), "GD-204 Overloaded, not_run") {
		t.Errorf("text: error %v; want none and the refusal GD-204; text:\n%s", err, text.String())
	}
	if err := r.WriteSVG(&svg); err != nil || !strings.Contains(svg.String(), "<svg") {
		t.Errorf("chart: error %v; want none and an SVG document", err)
	}
}

// Guards against a check that misses a booking that ran twice, or that ran
// although it was answered "not run".
func TestBookingCheckFindsWrongAnswers(t *testing.T) {
	f := newFakeInstance(t, 0)
	c := testConfig(f)
	c.BookingShare, c.TargetCounts = 0.5, []string{f.URL + "/v1/counts"}
	r, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	b := r.Bookings
	if !b.Checked || fmt.Sprint(b.NotRunYetRan) != "[a.1.0]" || fmt.Sprint(b.RanTwice) != "[a.1.1]" || b.WrongCount() != 2 {
		t.Fatalf("got %+v, want a.1.0 answered not run yet ran, a.1.1 ran twice, 2 wrong", b)
	}
}

// Guards against a command that hides wrongly answered bookings, or that starts a
// load with an invalid option.
func TestCommandExitStatus(t *testing.T) {
	f := newFakeInstance(t, 0)
	chart := filepath.Join(t.TempDir(), "load.svg")
	base := []string{"--entry", f.URL, "--rate", "100", "--duration", "500ms", "--json", "--svg", chart}
	for _, tc := range []struct {
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
		flags := flag.NewFlagSet(tc.name, flag.ContinueOnError)
		c.SetFlags(flags)
		if err := flags.Parse(append(slices.Clone(base), tc.args...)); err != nil {
			t.Fatal(err)
		}
		if got := c.Execute(t.Context(), flags); got != tc.want {
			t.Errorf("%s: exit status %d, want %d; standard error: %s", tc.name, got, tc.want, errs.String())
		}
		if tc.want == subcommands.ExitSuccess && !json.Valid(out.Bytes()) {
			t.Errorf("%s: got output %s, want JSON", tc.name, out.String())
		}
	}
	if svg, err := os.ReadFile(chart); err != nil || !bytes.Contains(svg, []byte("<svg")) {
		t.Errorf("chart: error %v; want none and an SVG document", err)
	}
}
