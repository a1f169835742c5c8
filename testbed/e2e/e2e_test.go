package e2e

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"galenadyke.dev/core/objects"
	"galenadyke.dev/ctl/client"
	"galenadyke.dev/ctl/load"
	"galenadyke.dev/testbed/bench"
	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/demo"
	"galenadyke.dev/testbed/platform"
	"galenadyke.dev/testbed/target"
)

const (
	// inForceBound is the stated time in which a published set comes into force at
	// every instance.
	inForceBound = 3 * time.Second
	// recoveryBound is the time after which the loss of an instance must have no
	// more effect: 0.6 s to suspect the instance, 1 s to exclude it and 1 s of
	// handover wait, and more than as much again for a busy machine.
	recoveryBound = 6 * time.Second
	// maxReadBackoff is the longest pause, including jitter, between attempts to
	// read from a configuration service that does not answer.
	maxReadBackoff = 10 * time.Second
)

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binaries before the tests, so that no test runs against
// outdated ones.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "galenadyke-e2e-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	for _, pkg := range []string{"./node/cmd/galenadyked", "./testbed/cmd/testbed-target", "./testbed/cmd/testbed-platform"} {
		build := exec.Command("go", "build", "-o", dir+"/", pkg)
		build.Dir, build.Stderr = filepath.Join("..", ".."), os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "build", pkg, err)
			return 1
		}
	}
	return m.Run()
}

func spec(t *testing.T) cell.Spec {
	s := cell.DefaultSpec()
	s.Bin, s.Dir = binDir, t.TempDir()
	return s
}

// startCell starts a cell of three instances in three places, and waits until
// searches are complete and every instance knows every target.
func startCell(t *testing.T) *cell.Cell {
	t.Helper()
	s := spec(t)
	s.Instances, s.Places = 3, []string{"ikeja", "lekki", "yaba"}
	c, err := cell.Start(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Kill)
	must(t, c.AwaitComplete(t.Context(), recoveryBound))
	must(t, c.AwaitTargets(t.Context(), recoveryBound))
	return c
}

// must fails the test immediately on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// startLoad starts a load on the entries in the background. The returned function
// waits for the end of the load and returns its result.
func startLoad(t *testing.T, c *cell.Cell, entries []string, duration time.Duration) (wait func() *load.Result) {
	cfg := load.DefaultConfig()
	cfg.Entries, cfg.Rate, cfg.Duration = entries, 40, duration
	// The tests check coverage and not latency, so the deadline allows for a busy
	// machine.
	cfg.Deadline, cfg.BookingShare, cfg.TargetCounts = 2*time.Second, 0.3, c.CountURLs()
	done := make(chan *load.Result, 1)
	go func() {
		r, err := load.Run(t.Context(), cfg)
		if err != nil {
			t.Error(err)
		}
		done <- r
	}()
	return func() *load.Result {
		r := <-done
		if r == nil {
			t.FailNow()
		}
		return r
	}
}

// checkLoad checks what must hold under every fault: no booking was answered
// wrongly or ran twice, and every call was answered.
func checkLoad(t *testing.T, r *load.Result) {
	t.Helper()
	var text strings.Builder
	must(t, r.WriteText(&text))
	t.Log("\n" + text.String())
	if b := r.Bookings; !b.Checked || b.WrongCount() > 0 {
		t.Errorf("wrong bookings: ran twice %v, answered as not run but ran %v, answered as run but did not run %v; want none of them, checked against the targets' counts", b.RanTwice, b.NotRunYetRan, b.RanYetNotRun)
	}
	if r.Failed+r.Dropped > 0 {
		t.Errorf("%d calls failed and %d were dropped, want none; failures by cause: %+v", r.Failed, r.Dropped, r.Failures)
	}
}

// checkMaxInFlight checks that no target had more requests in flight than slots.
func checkMaxInFlight(t *testing.T, c *cell.Cell) {
	t.Helper()
	counts, err := c.Counts(t.Context())
	must(t, err)
	for name, tc := range counts {
		if tc.MaxConcurrent > tc.Slots {
			t.Errorf("%s had %d requests at once, want at most its %d slots", name, tc.MaxConcurrent, tc.Slots)
		}
	}
}

// Guards against a demonstration whose steps fail.
func TestDemo(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	must(t, demo.Run(ctx, testWriter{t}, spec(t)))
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// Guards against a policy under which instances never answer completely. The
// benchmark could not compare it with others.
func TestEveryPolicyAnswers(t *testing.T) {
	t.Parallel()
	for _, policy := range bench.AllPolicies {
		t.Run(string(policy), func(t *testing.T) {
			t.Parallel()
			s := spec(t)
			s.Policy, s.Instances, s.Groups = policy, 4, 8
			c, err := cell.Start(t.Context(), s)
			must(t, err)
			t.Cleanup(c.Kill)
			must(t, c.AwaitComplete(t.Context(), recoveryBound))
			must(t, c.Stop())
		})
	}
}

// Guards against the effects of a killed instance: targets that stay without a
// lead, bookings that run twice, and failed calls at the other instances.
func TestDaemonKilled(t *testing.T) {
	t.Parallel()
	c := startCell(t)
	killed := c.Instances[0]
	id, err := killed.BookingID(t.Context())
	must(t, err)
	first, err := killed.Book(t.Context(), id, "{}", time.Second)
	must(t, err)
	if first.Execution != client.Ran {
		t.Fatalf("booking before the kill: got %+v, want an execution that ran", first)
	}
	wait := startLoad(t, c, c.Entries()[1:], recoveryBound)
	killed.Kill()

	// The owner of the id is gone, and no other instance knows whether the booking
	// ran.
	repeat, err := c.Instances[1].Book(t.Context(), id, "{}", time.Second)
	if executionOf(err) != client.Unknown {
		t.Errorf("repeat of a booking whose owner is gone: got %+v, error %v, want execution unknown", repeat, err)
	}
	must(t, cell.Await(t.Context(), recoveryBound, func() error {
		s, err := c.Instances[1].Status(t.Context())
		if err != nil {
			return err
		}
		for _, tgt := range s.Targets {
			if tgt.Lead == killed.ID || tgt.Lead == "" {
				return fmt.Errorf("target %s has lead %q, want a running instance", tgt.Name, tgt.Lead)
			}
		}
		return nil
	}))
	r := wait()
	checkLoad(t, r)
	if last := r.Timeline[len(r.Timeline)-1]; last.Coverage != 1 || last.Refused > 0 {
		t.Errorf("last second of the load: got %+v, want full coverage and no refused call", last)
	}
	checkMaxInFlight(t, c)
}

// Guards against an instance that acts on outdated state after SIGSTOP and
// SIGCONT: it sends requests to a data centre that has left meanwhile, or runs a
// booking a second time.
func TestDaemonPausedAndContinued(t *testing.T) {
	t.Parallel()
	c := startCell(t)
	paused := c.Instances[0]
	leftPlace := paused.Place // the paused instance is the lead of all targets there
	id, err := paused.BookingID(t.Context())
	must(t, err)
	wait := startLoad(t, c, c.Entries()[1:], recoveryBound+inForceBound)
	must(t, paused.Signal(syscall.SIGSTOP))
	// The threads stop some time after the signal is sent. Until then, the instance
	// may still run a booking.
	must(t, cell.Await(t.Context(), recoveryBound, func() error { return checkThreadsStopped(paused.PID()) }))
	// Only the paused instance, the owner of the id, may run this booking.
	answer, err := c.Instances[1].Book(t.Context(), id, "{}", 500*time.Millisecond)
	if err == nil {
		t.Errorf("booking whose owner is paused: got %+v, want an error", answer)
	}
	answeredNotRun := executionOf(err) == client.NotRun
	must(t, c.Publish(t.Context(), func(s *objects.Set) { s.Orders[0].InForce = 1 }))
	must(t, cell.Await(t.Context(), inForceBound, func() error {
		for _, in := range c.Instances[1:] {
			s, err := in.Status(t.Context())
			if err != nil || s.Digest != c.Set.Digest {
				return fmt.Errorf("%s: generation %d, %w", in.ID, s.Generation, err)
			}
		}
		return nil
	}))
	must(t, cell.Await(t.Context(), recoveryBound, func() error {
		s, err := c.Instances[1].Status(t.Context())
		if err != nil {
			return err
		}
		for _, m := range s.Members {
			if m.ID == paused.ID && !m.Suspected {
				return fmt.Errorf("%s is not suspected yet", m.ID)
			}
		}
		return nil
	}))
	must(t, c.Mark(t.Context(), "after"))
	must(t, paused.Signal(syscall.SIGCONT))
	// This request reaches the instance as it continues.
	if _, err := paused.Search(t.Context(), "woken", "{}", time.Second); err != nil && executionOf(err) != client.NotRun {
		t.Errorf("first search after the pause: got error %v, want an answer or an error that says not run", err)
	}
	must(t, c.AwaitInForce(t.Context(), inForceBound))
	must(t, c.AwaitComplete(t.Context(), recoveryBound))
	checkLoad(t, wait())
	checkNoRequests(t, c, leftPlace, "after")
	checkMaxInFlight(t, c)
	if n := bookingRuns(t, c, id); n > 0 && answeredNotRun {
		t.Errorf("booking %s ran although it was answered as not run", id)
	}
	repeat, err := paused.Book(t.Context(), id, "{}", time.Second)
	n := bookingRuns(t, c, id)
	if n > 1 || (err == nil && n != 1) || (executionOf(err) == client.NotRun && n != 0) {
		t.Errorf("booking %s ran %d times, want at most once and in accord with its last answer %+v, error %v", id, n, repeat, err)
	}
}

// checkThreadsStopped returns an error that names a thread of the process and its
// state, unless all threads are stopped by a signal.
func checkThreadsStopped(pid int) error {
	dir := fmt.Sprintf("/proc/%d/task", pid)
	threads, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, thread := range threads {
		raw, err := os.ReadFile(filepath.Join(dir, thread.Name(), "stat"))
		if err != nil {
			return err
		}
		// The program's name before the state is in parentheses and may contain
		// spaces.
		text := string(raw)
		fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
		if len(fields) == 0 {
			return fmt.Errorf("thread %s of process %d: no state in %q", thread.Name(), pid, text)
		}
		if fields[0] != "T" {
			return fmt.Errorf("thread %s of process %d is in state %s, want T (stopped)", thread.Name(), pid, fields[0])
		}
	}
	return nil
}

// executionOf returns the execution that the error from a call states, or the
// empty string if the error states none.
func executionOf(err error) client.Execution {
	var e *client.Error
	if errors.As(err, &e) {
		return e.Execution
	}
	return ""
}

// bookingRuns returns how often a booking ran at all targets together.
func bookingRuns(t *testing.T, c *cell.Cell, id string) int {
	t.Helper()
	counts, err := c.Counts(t.Context())
	must(t, err)
	n := 0
	for _, tc := range counts {
		n += tc.Bookings[id]
	}
	return n
}

// checkNoRequests checks that no target of the place got a request after the
// mark.
func checkNoRequests(t *testing.T, c *cell.Cell, place, mark string) {
	t.Helper()
	counts, err := c.Counts(t.Context())
	must(t, err)
	for _, g := range c.Set.Groups {
		for _, tgt := range g.Targets {
			if n := counts[tgt.Name].RequestsByMark[mark]; tgt.Place == place && n > 0 {
				t.Errorf("%s in %s got %d requests after the place left, want 0", tgt.Name, place, n)
			}
		}
	}
}

// awaitRequests waits until the targets have got n requests together after the
// mark.
func awaitRequests(t *testing.T, c *cell.Cell, names []string, mark string, n int) {
	t.Helper()
	must(t, cell.Await(t.Context(), recoveryBound, func() error {
		counts, err := c.Counts(t.Context())
		got := 0
		for _, name := range names {
			got += counts[name].RequestsByMark[mark]
		}
		if err == nil && got < n {
			err = fmt.Errorf("got %d requests after the mark %s, want %d", got, mark, n)
		}
		return err
	}))
}

// Guards against refused or incomplete searches while a data centre leaves and
// returns, against requests to it later than 3 s after the publication, and
// against more requests than its targets sustain when they return cold.
func TestDataCentreLeavesAndReturnsCold(t *testing.T) {
	t.Parallel()
	c := startCell(t)
	leftPlace := c.Spec.Places[0]
	wait := startLoad(t, c, c.Entries(), 10*time.Second)
	published := time.Now()
	must(t, c.PublishStepsInForce(t.Context(), 1))
	must(t, c.AwaitInForce(t.Context(), inForceBound))
	time.Sleep(time.Until(published.Add(inForceBound))) // the stated bound
	must(t, c.Mark(t.Context(), "out"))
	names := c.TargetsIn(leftPlace)
	must(t, c.Change(t.Context(), target.Change{Targets: names, RestartCold: true}))
	awaitRequests(t, c, c.TargetsIn(c.Spec.Places[1]), "out", 40)
	checkNoRequests(t, c, leftPlace, "out")
	must(t, c.Mark(t.Context(), "back"))
	must(t, c.PublishStepsInForce(t.Context(), 2))
	awaitRequests(t, c, names, "back", len(names))
	r := wait()
	checkLoad(t, r)
	if r.Refused > 0 || r.Searches.Complete != r.Searches.Answered {
		t.Errorf("%d calls refused, %d of %d searches complete, want 0 refused and all complete; refusals by kind: %+v", r.Refused, r.Searches.Complete, r.Searches.Answered, r.Refusals)
	}
	counts, err := c.Counts(t.Context())
	must(t, err)
	for _, name := range names {
		if tc := counts[name]; tc.MaxExcess > 0 || tc.FailOvers > 0 {
			t.Errorf("%s had up to %d concurrent requests above its capacity and %d fail-overs, want 0 and 0", name, tc.MaxExcess, tc.FailOvers)
		}
	}
}

// Guards against instances that stop answering while the configuration service
// is down, that cannot start meanwhile, or that miss the next publication after
// the configuration service has recovered.
func TestConfigurationServiceDown(t *testing.T) {
	t.Parallel()
	c := startCell(t)
	must(t, c.ConfigService.SetFaults(t.Context(), platform.Faults{Down: true}))
	// 5 s is longer than 2 s, the age at which the confirmation of a set by the
	// configuration service expires.
	wait := startLoad(t, c, c.Entries(), 5*time.Second)
	r := wait()
	checkLoad(t, r)
	if r.Refused > 0 || r.Searches.MinCoverage != 1 {
		t.Errorf("%d calls refused and minimum coverage %v while the configuration service was down, want 0 and 1; refusals by kind: %+v", r.Refused, r.Searches.MinCoverage, r.Refusals)
	}
	restarted := c.Instances[0]
	must(t, restarted.Stop(c.Spec.StopTimeout.D()))
	must(t, c.StartInstance(restarted))
	must(t, c.AwaitInForce(t.Context(), recoveryBound)) // the restarted instance gets the set from its peers
	must(t, c.ConfigService.SetFaults(t.Context(), platform.Faults{}))
	must(t, c.PublishStepsInForce(t.Context(), 1))
	must(t, c.AwaitInForce(t.Context(), maxReadBackoff+inForceBound))
	must(t, c.AwaitComplete(t.Context(), recoveryBound))
	must(t, c.Stop())
}
