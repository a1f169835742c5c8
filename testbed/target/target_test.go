package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"galenadyke.dev/testbed/units"
)

func start(t *testing.T, edit func(*Config)) *Server {
	t.Helper()
	tc := DefaultTarget()
	tc.Name = "a"
	tc.Service = Service{Distribution: "fixed", Mean: units.Duration(20 * time.Millisecond)}
	tc.Cold.Warm = true
	tc.Versions = []Version{{Version: 7, Total: 4, Partitions: []uint32{1, 2}}}
	edit(&tc)
	s, err := Start(ProcessConfig{Control: "127.0.0.1:0", Targets: []Config{tc}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// send returns the status, 0 for a broken connection, and the body.
func send(ctx context.Context, s *Server, path string, header ...string) (int, string) {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.started.Targets["a"]+path, bytes.NewReader([]byte(`{"q":1}`)))
	r.Header.Set("X-Snapshot", "7")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	body, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body)
}

// slow lets searches last so long that those sent at once also are at the target
// at once, on a busy machine too.
func slow(c *Config) { c.Service.Mean = units.Duration(500 * time.Millisecond) }

// together sends n searches at once and returns how many got each status.
func together(s *Server, n int) map[int]int {
	var mu sync.Mutex
	var all sync.WaitGroup
	got := make(map[int]int)
	for range n {
		all.Go(func() {
			status, _ := send(context.Background(), s, "/v1/search")
			mu.Lock()
			defer mu.Unlock()
			got[status]++
		})
	}
	all.Wait()
	return got
}

// Guards against a stand-in that runs more than its slots, or that does not
// say that a shed request did not run.
func TestSlotsQueueAndShed(t *testing.T) {
	s := start(t, func(c *Config) { slow(c); c.QueueLimit = 3 })
	got := together(s, 8)
	c := s.Counts().Targets[0]
	if got[200] != 5 || got[503] != 3 || c.Sheds != 3 || c.MaxAtOnce != 5 {
		t.Fatalf("answers %v, counts %+v; want 5 answered, 3 shed, 5 at once", got, c)
	}
}

// Guards against a cold target that bears full load, or that fails over
// without a new incarnation.
func TestColdTargetFailsOver(t *testing.T) {
	s := start(t, func(c *Config) { slow(c); c.Cold.Warm, c.Cold.OverloadLimit = false, 2 })
	got := together(s, 3)
	c := s.Counts().Targets[0]
	if got[200] != 0 || c.FailOvers != 1 || c.Incarnation != 2 || c.Overloads != 2 {
		t.Fatalf("answers %v, counts %+v; want a fail-over after 2 overloads", got, c)
	}
}

// Guards against a cold target that never becomes warm.
func TestColdTargetBecomesWarm(t *testing.T) {
	s := start(t, func(c *Config) { c.Cold.Warm, c.Cold.Completions = false, 2 })
	for range 2 {
		send(context.Background(), s, "/v1/search")
	}
	if c := s.Counts().Targets[0]; c.Bears != 2 || c.Overloads != 0 {
		t.Fatalf("counts %+v; want to bear 2 without an overload", c)
	}
}

// Guards against a cancelled request that keeps its slot.
func TestCancellationFreesSlot(t *testing.T) {
	s := start(t, func(c *Config) { c.Slots, c.Service.Mean = 1, units.Duration(time.Minute) })
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	send(ctx, s, "/v1/search")
	eventually(t, func() bool { c := s.Counts().Targets[0]; return c.Cancellations == 1 && c.InFlight == 0 })
}

// Guards against answers that hide a lost booking, a deadline, a version that
// is not held, or a truncation.
func TestAnswersAreTruthful(t *testing.T) {
	s := start(t, func(*Config) {})
	yes, one := true, 1
	if status, body := send(t.Context(), s, "/v1/search", "X-Snapshot", "8"); status != 409 {
		t.Errorf("unknown version: %d %s, want 409", status, body)
	}
	if status, body := send(t.Context(), s, "/v1/search", "X-Deadline-Ms", "0"); status != 503 {
		t.Errorf("past deadline: %d %s, want 503", status, body)
	}
	if status, _ := send(t.Context(), s, "/v1/search", "X-Deadline-Ms", "5"); status != 504 {
		t.Errorf("deadline while running: %d, want 504", status)
	}
	s.targets[0].change(Change{LoseAnswers: &one, Truncate: &yes})
	if status, _ := send(t.Context(), s, "/v1/book", "X-Booking-Id", "a.1.1"); status != 0 {
		t.Errorf("lost answer: %d, want a broken connection", status)
	}
	if n := s.Counts().Targets[0].Bookings["a.1.1"]; n != 1 {
		t.Errorf("the lost booking ran %d times, want once", n)
	}
	var answer searchAnswer
	_, body := send(t.Context(), s, "/v1/search", "X-Request-Id", "r1")
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		t.Fatal(err)
	}
	if !answer.Truncated || fmt.Sprint(answer.Partitions) != "[1]" || answer.Result.RequestID != "r1" {
		t.Errorf("truncated answer %s", body)
	}
}

// Guards against a freeze or a loss of the target that callers do not see.
func TestFreezeAndDown(t *testing.T) {
	s := start(t, func(*Config) {})
	yes, no := true, false
	s.targets[0].change(Change{Freeze: &yes})
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
	defer cancel()
	if status, _ := send(ctx, s, "/v1/search"); status != 0 {
		t.Errorf("frozen target answered %d", status)
	}
	s.targets[0].change(Change{Freeze: &no, Down: &yes})
	if status, _ := send(t.Context(), s, "/v1/search"); status != 0 {
		t.Errorf("target that is down answered %d", status)
	}
	s.targets[0].change(Change{Down: &no})
	if status, _ := send(t.Context(), s, "/v1/search"); status != 200 {
		t.Errorf("target that is up again answered %d", status)
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached within 5 s")
		}
	}
}

func health(t *testing.T, s *Server) healthAnswer {
	t.Helper()
	answer, err := http.Get("http://" + s.started.Targets["a"] + "/v1/health")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var h healthAnswer
	if err := json.NewDecoder(answer.Body).Decode(&h); err != nil {
		t.Fatal(err)
	}
	return h
}

// Guards against a health report that follows the truth although it is set to
// lag or to lie.
func TestReportsLagAndLie(t *testing.T) {
	s := start(t, func(c *Config) { c.Report.Lag = units.Duration(time.Hour) })
	health(t, s)
	yes := true
	s.targets[0].change(Change{Drain: &yes, RestartCold: true, Quiet: true})
	if h := health(t, s); h.Draining || h.Incarnation != 1 {
		t.Errorf("report with a lag of an hour: %+v, want that of the start", h)
	}
	s.targets[0].change(Change{Report: &Report{Lie: true, InFlight: 40, Queued: 2}})
	if h := health(t, s); h.Load != (loadReport{40, 2}) || !h.Draining || h.Incarnation != 2 {
		t.Errorf("report with a false load: %+v", h)
	}
}

// Guards against versions that cannot change under running queries.
func TestVersionsChange(t *testing.T) {
	s := start(t, func(*Config) {})
	s.targets[0].change(Change{AddVersion: &Version{Version: 8, Total: 4, Partitions: []uint32{3}}})
	s.targets[0].change(Change{AddVersion: &Version{Version: 7, Total: 8, Partitions: []uint32{1, 2, 5}}})
	if h := health(t, s); fmt.Sprint(h.Versions) != "[{7 8 [1 2 5]} {8 4 [3]}]" {
		t.Errorf("versions %v", h.Versions)
	}
	s.targets[0].change(Change{Retire: 7})
	if status, _ := send(t.Context(), s, "/v1/search"); status != 409 {
		t.Errorf("search of a retired version: %d, want 409", status)
	}
}

// Guards against a link or a new connection that costs nothing, and against
// connections above the limit.
func TestLinkAndConnections(t *testing.T) {
	s := start(t, func(c *Config) {
		c.Service.Mean, c.Connections = 0, 1
		c.ConnectTime = units.Duration(30 * time.Millisecond)
		c.Link.Delay = units.Duration(20 * time.Millisecond)
	})
	began := time.Now()
	send(t.Context(), s, "/v1/search")
	if took := time.Since(began); took < 70*time.Millisecond {
		t.Errorf("the first search took %v, want 30 ms to connect and 20 ms each way", took)
	}
	s.targets[0].change(Change{Link: &Link{Loss: 0.999999, Retransmit: units.Duration(time.Minute)}})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if status, _ := send(ctx, s, "/v1/search"); status != 0 {
		t.Errorf("search over a link that loses packets: %d", status)
	}
	s.targets[0].change(Change{Link: &Link{Delay: units.Duration(50 * time.Millisecond)}})
	if got := together(s, 3); got[0] == 0 || s.Counts().Targets[0].Requests >= 4 {
		t.Errorf("answers %v over a limit of 1 connection", got)
	}
}
