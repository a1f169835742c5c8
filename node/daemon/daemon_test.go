package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"galenadyke.dev/core/engine"
	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/core/trace"
	"galenadyke.dev/node/settings"
)

// settingsEnv makes the test binary run as a daemon.
const settingsEnv = "GALENADYKED_TEST_SETTINGS"

// bound is the longest that a test waits for an outcome.
const bound = 20 * time.Second

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsEnv); path != "" {
		s, findings := settings.Load(path)
		if len(findings) > 0 {
			fmt.Fprintln(os.Stderr, findings)
			os.Exit(2)
		}
		os.Exit(Run(s))
	}
	goleak.VerifyTestMain(m)
}

// target answers as one replica of one partition, or as a booking target.
type target struct {
	*httptest.Server
	mu       sync.Mutex
	bookings map[string]int
}

func newTarget(t *testing.T) *target {
	tg := &target{bookings: map[string]int{}}
	tg.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/health":
			_, _ = io.WriteString(w, `{"incarnation":1,"versions":[{"version":7,"total":1,"partitions":[1]}]}`)
		case "/v1/search":
			_, _ = io.WriteString(w, `{"snapshot":7,"partitions":[1],"incarnation":1,"load":{"in_flight":1},"result":{}}`)
		case "/v1/book":
			tg.mu.Lock()
			tg.bookings[r.Header.Get("X-Booking-Id")]++
			tg.mu.Unlock()
			_, _ = io.WriteString(w, `{"incarnation":1,"load":{"in_flight":1},"result":{}}`)
		}
	}))
	t.Cleanup(tg.Close)
	return tg
}

// servePlatform serves one set and one instance list that do not change.
func servePlatform(t *testing.T, set []byte, list string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wait, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
			}
		}
		w.Header().Set("X-Consul-Index", "1")
		if strings.HasPrefix(r.URL.Path, "/v1/kv/") {
			_, _ = w.Write(set)
			return
		}
		_, _ = io.WriteString(w, list)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// published is a bundle with one search and one booking route over the targets.
func published(t *testing.T, targets ...*target) []byte {
	groups := []objects.TargetGroup{}
	for i, name := range []string{"shard", "desk"} {
		address := targets[i].Listener.Addr().String()
		groups = append(groups, objects.TargetGroup{Name: name, Service: name, ConnectTime: time.Millisecond,
			Targets: []objects.Target{{Name: name + "-1", Address: address, Place: "ikeja", Slots: 2, Connections: 8}}})
	}
	raw, err := objects.Bundle(&objects.Set{
		Places: []objects.Place{{Name: "ikeja", Region: "lagos"}},
		Groups: []objects.TargetGroup{groups[1], groups[0]},
		Routes: []objects.Route{{Name: "desk", Kind: objects.RouteBooking, Groups: []string{"desk"}},
			{Name: "shard", Kind: objects.RouteSearch, Groups: []string{"shard"}}},
		Limits: objects.DefaultLimits(),
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// freePort returns an address that a daemon can listen on. The host is one for
// each test process, because other processes take ports of 127.0.0.1 at any time.
func freePort(t *testing.T) string {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.90.%d.%d:0", pid>>8&0xff, pid&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func configure(t *testing.T, n int) []settings.Settings {
	all := make([]settings.Settings, n)
	var entries []string
	for i := range all {
		s := settings.Defaults()
		s.Instance, s.Place, s.Seed = fmt.Sprintf("i%d", i), "ikeja", uint64(i+1)
		s.HTTPListen, s.GRPCListen = freePort(t), freePort(t)
		s.BalancerDelay, s.StopTimeout = 0, settings.Duration(10*time.Second)
		host, port, _ := net.SplitHostPort(s.GRPCListen)
		entries = append(entries, fmt.Sprintf(`{"Service":{"ID":%q,"Address":%q,"Port":%s,"Meta":{"place":"ikeja"}}}`, s.Instance, host, port))
		all[i] = s
	}
	url := servePlatform(t, published(t, newTarget(t), newTarget(t)), "["+strings.Join(entries, ",")+"]")
	for i := range all {
		all[i].ConfigURL, all[i].InstancesURL = url, url
	}
	return all
}

// call repeats a request until accept takes the answer.
func call(ctx context.Context, t *testing.T, base, path, body string, accept func(status int, body map[string]any) bool) map[string]any {
	t.Helper()
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	for {
		r, err := http.NewRequestWithContext(ctx, method, "http://"+base+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if ctx.Err() != nil {
			t.Fatalf("%s: no acceptable answer in time", path)
		}
		if err != nil {
			continue // not listening yet
		}
		var answer map[string]any
		_ = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if accept(resp.StatusCode, answer) {
			return answer
		}
	}
}

func ok(status int, _ map[string]any) bool { return status == http.StatusOK }

// Guards against parts that do not fit together: a search and a booking through
// two instances, a repeat at the other instance, and a graceful stop that leaves
// nothing running.
func TestTwoInstancesServeAndStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	all := configure(t, 2)
	var daemons []*Daemon
	for _, s := range all {
		d, err := New(s, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		d.Start()
		daemons = append(daemons, d)
	}
	for _, s := range all {
		call(ctx, t, s.HTTPListen, "/readyz", "", ok)
		call(ctx, t, s.HTTPListen, "/v1/search", `{"route":"shard","query":{},"deadline_ms":1000}`, func(status int, answer map[string]any) bool {
			return status == 200 && answer["snapshot"] == 7.0 && answer["coverage"].(map[string]any)["fraction"] == 1.0
		})
	}
	ids := call(ctx, t, all[0].HTTPListen, "/v1/booking-ids", `{"count":1}`, ok)
	id := ids["booking_ids"].([]any)[0].(string)
	body := `{"route":"desk","booking_id":"` + id + `","booking":{"sku":1},"deadline_ms":1000}`
	for i, s := range all {
		answer := call(ctx, t, s.HTTPListen, "/v1/book", body, func(int, map[string]any) bool { return true })
		if answer["execution"] != "ran" || answer["repeat"] != (i > 0) {
			t.Errorf("booking at instance %d: %v", i, answer)
		}
	}
	var dumped bytes.Buffer
	if err := daemons[0].ring.Dump(&dumped); err != nil {
		t.Fatal(err)
	}
	// What a real instance recorded must replay to the same outputs.
	sum, err := trace.Replay(&dumped, func(cfg model.CoreConfig) trace.Engine { return engine.New(cfg) }, nil)
	if err != nil || sum.Header.Config.Self != "i0" || !sum.Compared || len(sum.Differences) > 0 {
		t.Errorf("replay of the trace: %v, %d of %d ticks differ", err, len(sum.Differences), sum.Ticks)
	}
	for _, d := range daemons {
		d.Shutdown()
		select {
		case <-d.Stopped():
		case <-ctx.Done():
			t.Error("no graceful stop in time")
		}
		d.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// process starts a daemon as a process and passes on the names of its log lines.
func process(t *testing.T, s settings.Settings) (*exec.Cmd, <-chan string) {
	path := t.TempDir() + "/settings.json"
	if err := os.WriteFile(path, s.JSON(), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsEnv+"="+path)
	stderr, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 1024)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			var line struct{ Message string }
			_ = json.Unmarshal(scanner.Bytes(), &line)
			lines <- line.Message
		}
	}()
	return cmd, lines
}

func await(t *testing.T, lines <-chan string, name string) {
	t.Helper()
	for line := range lines {
		if line == name {
			return
		}
	}
	t.Fatalf("the process ended without a line %q", name)
}

// exitStatus waits for the end of a process, which is killed after the bound.
func exitStatus(cmd *exec.Cmd, lines <-chan string) int {
	timer := time.AfterFunc(bound, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	for range lines { // Wait closes the pipe, so it must be read first
	}
	err := cmd.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// Guards against a planned stop that is not graceful, and against a process
// that cannot be ended at once.
func TestSignals(t *testing.T) {
	for _, second := range []bool{false, true} {
		s, want := configure(t, 1)[0], 0
		if second {
			s.BalancerDelay, s.StopTimeout = settings.Duration(time.Minute), settings.Duration(2*time.Minute)
			want = 128 + int(syscall.SIGTERM)
		}
		cmd, lines := process(t, s)
		await(t, lines, "Started")
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		await(t, lines, "ShutdownRequested")
		if second {
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
		if status := exitStatus(cmd, lines); status != want {
			t.Errorf("second signal %v: exit status %d, want %d", second, status, want)
		}
	}
}

// Guards against two lives of an instance with one number, which others could
// not tell apart.
func TestIncarnationRises(t *testing.T) {
	if a, b := Incarnation(), Incarnation(); b <= a {
		t.Errorf("%d after %d", b, a)
	}
}

// Guards against an address in use that stops the start without a remedy.
func TestAddressInUse(t *testing.T) {
	s := configure(t, 1)[0]
	l, err := net.Listen("tcp", s.GRPCListen)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err = New(s, io.Discard); err == nil || !strings.Contains(err.Error(), "use a free port") {
		t.Errorf("%v", err)
	}
}
