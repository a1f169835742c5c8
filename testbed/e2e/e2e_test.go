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
	// inForceBound is the stated time in which a publication is in force.
	inForceBound = 3 * time.Second
	// recoveryBound is the time after which a lost instance must not be felt
	// any more: 0.6 s to suspect it, 1 s to exclude it, 1 s of handover wait,
	// and as much again for a busy machine.
	recoveryBound = 6 * time.Second
	// backoffBound is the longest pause of a reader that lost the
	// configuration service, with its jitter.
	backoffBound = 10 * time.Second
)

var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the binaries, so that a test never runs against old ones.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "galenadyke-e2e-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
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
	s.Bin, s.Dir = bin, t.TempDir()
	return s
}

// start starts a deployment of three instances that answers in full.
func start(t *testing.T) *cell.Cell {
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

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// load runs a load on some entries in the background. wait returns its result.
func startLoad(t *testing.T, c *cell.Cell, entries []string, length time.Duration) (wait func() *load.Result) {
	cfg := load.DefaultConfig()
	cfg.Entries, cfg.Rate, cfg.Duration = entries, 40, length
	// The tests state coverage and not latency: the deadline leaves room for a
	// busy machine.
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

// checkLoad requires what must hold under every fault: no booking that was
// answered wrongly or ran twice, and no call without an answer.
func checkLoad(t *testing.T, r *load.Result) {
	t.Helper()
	var text strings.Builder
	must(t, r.WriteText(&text))
	t.Log("\n" + text.String())
	if b := r.Bookings; !b.Checked || b.Wrong() > 0 {
		t.Errorf("bookings: ran twice %v, not run yet ran %v, ran yet not %v", b.Twice, b.NotRunYetRan, b.RanYetNotRun)
	}
	if r.Failed+r.Dropped > 0 {
		t.Errorf("%d calls failed and %d were dropped: %+v", r.Failed, r.Dropped, r.Failures)
	}
}

// checkPeaks requires that no target had more at once than its slots.
func checkPeaks(t *testing.T, c *cell.Cell) {
	t.Helper()
	counts, err := c.Counts(t.Context())
	must(t, err)
	for name, one := range counts {
		if one.MaxAtOnce > one.Slots {
			t.Errorf("%s had %d requests at once on %d slots", name, one.MaxAtOnce, one.Slots)
		}
	}
}

// Guards against a demonstration that no longer shows what it claims.
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

// Guards against a policy under which an instance never begins to serve its
// targets, so that a comparison with it says nothing.
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

// Guards against a crashed instance whose targets stay without a lead, whose
// bookings run twice, or whose loss makes calls at other instances fail.
func TestDaemonKilled(t *testing.T) {
	t.Parallel()
	c := start(t)
	victim := c.Instances[0]
	id, err := victim.BookingID(t.Context())
	must(t, err)
	first, err := victim.Book(t.Context(), id, "{}", time.Second)
	must(t, err)
	if first.Execution != client.Ran {
		t.Fatalf("booking: %+v", first)
	}
	wait := startLoad(t, c, c.Entries()[1:], recoveryBound)
	victim.Kill()

	// The owner of the id is gone, so that nobody knows whether it ran.
	repeat, err := c.Instances[1].Book(t.Context(), id, "{}", time.Second)
	if executionOf(err) != client.Unknown {
		t.Errorf("repeat of a booking whose owner is gone: %+v %v, want unknown", repeat, err)
	}
	must(t, cell.Await(t.Context(), recoveryBound, func() error {
		s, err := c.Instances[1].Status(t.Context())
		if err != nil {
			return err
		}
		for _, one := range s.Targets {
			if one.Lead == victim.ID || one.Lead == "" {
				return fmt.Errorf("%s is led by %q", one.Name, one.Lead)
			}
		}
		return nil
	}))
	r := wait()
	checkLoad(t, r)
	if last := r.Timeline[len(r.Timeline)-1]; last.Coverage != 1 || last.Refused > 0 {
		t.Errorf("the last second of the load: %+v, want full coverage", last)
	}
	checkPeaks(t, c)
}

// Guards against an instance that was stopped by a signal, and on waking acts
// on what it knew before: sends to a data centre that has left, or runs work
// and bookings a second time.
func TestDaemonPausedAndContinued(t *testing.T) {
	t.Parallel()
	c := start(t)
	paused := c.Instances[0]
	left := paused.Place // its own data centre, where it leads all targets
	id, err := paused.BookingID(t.Context())
	must(t, err)
	wait := startLoad(t, c, c.Entries()[1:], recoveryBound+inForceBound)
	must(t, paused.Signal(syscall.SIGSTOP))
	// Only the paused instance may run this booking.
	during, err := c.Instances[1].Book(t.Context(), id, "{}", 500*time.Millisecond)
	if err == nil {
		t.Errorf("booking of a paused owner: %+v, want an error", during)
	}
	notRun := executionOf(err) == client.NotRun
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
				return fmt.Errorf("%s is not suspected", m.ID)
			}
		}
		return nil
	}))
	must(t, c.Mark(t.Context(), "after"))
	must(t, paused.Signal(syscall.SIGCONT))
	// A caller is waiting at the instance when it wakes.
	if _, err := paused.Search(t.Context(), "woken", "{}", time.Second); err != nil && executionOf(err) != client.NotRun {
		t.Errorf("first answer after the pause: %v", err)
	}
	must(t, c.AwaitInForce(t.Context(), inForceBound))
	must(t, c.AwaitComplete(t.Context(), recoveryBound))
	checkLoad(t, wait())
	checkNoWork(t, c, left, "after")
	checkPeaks(t, c)
	if n := runs(t, c, id); n > 0 && notRun {
		t.Errorf("booking %s ran after it was answered as not run", id)
	}
	repeat, err := paused.Book(t.Context(), id, "{}", time.Second)
	n := runs(t, c, id)
	if n > 1 || (err == nil && n != 1) || (executionOf(err) == client.NotRun && n != 0) {
		t.Errorf("booking %s ran %d times; the last answer is %+v, %v", id, n, repeat, err)
	}
}

// executionOf returns what an error tells about the call, empty for none.
func executionOf(err error) client.Execution {
	var e *client.Error
	if errors.As(err, &e) {
		return e.Execution
	}
	return ""
}

// runs returns how often a booking ran at all targets.
func runs(t *testing.T, c *cell.Cell, id string) int {
	t.Helper()
	counts, err := c.Counts(t.Context())
	must(t, err)
	n := 0
	for _, one := range counts {
		n += one.Bookings[id]
	}
	return n
}

// checkNoWork requires that no target of the place got work after the mark.
func checkNoWork(t *testing.T, c *cell.Cell, place, mark string) {
	t.Helper()
	counts, err := c.Counts(t.Context())
	must(t, err)
	for _, g := range c.Set.Groups {
		for _, one := range g.Targets {
			if n := counts[one.Name].RequestsByMark[mark]; one.Place == place && n > 0 {
				t.Errorf("%s in %s got %d requests after it left", one.Name, place, n)
			}
		}
	}
}

// awaitRequests waits until the targets together got n requests after a mark.
func awaitRequests(t *testing.T, c *cell.Cell, names []string, mark string, n int) {
	t.Helper()
	must(t, cell.Await(t.Context(), recoveryBound, func() error {
		counts, err := c.Counts(t.Context())
		got := 0
		for _, name := range names {
			got += counts[name].RequestsByMark[mark]
		}
		if err == nil && got < n {
			err = fmt.Errorf("%d requests after the mark %s, want %d", got, mark, n)
		}
		return err
	}))
}

// Guards against callers that notice a data centre leave and return, against
// work for it later than 3 s after the publication, and against more work than
// its targets sustain when they come back cold.
func TestDataCentreLeavesAndReturnsCold(t *testing.T) {
	t.Parallel()
	c := start(t)
	left := c.Spec.Places[0]
	wait := startLoad(t, c, c.Entries(), 10*time.Second)
	published := time.Now()
	must(t, c.PublishStepsInForce(t.Context(), 1))
	must(t, c.AwaitInForce(t.Context(), inForceBound))
	time.Sleep(time.Until(published.Add(inForceBound))) // the stated bound
	must(t, c.Mark(t.Context(), "out"))
	names := c.TargetsIn(left)
	must(t, c.Change(t.Context(), target.Change{Targets: names, RestartCold: true}))
	awaitRequests(t, c, c.TargetsIn(c.Spec.Places[1]), "out", 40)
	checkNoWork(t, c, left, "out")
	must(t, c.Mark(t.Context(), "back"))
	must(t, c.PublishStepsInForce(t.Context(), 2))
	awaitRequests(t, c, names, "back", len(names))
	r := wait()
	checkLoad(t, r)
	if r.Refused > 0 || r.Searches.Complete != r.Searches.Answered {
		t.Errorf("%d refused, %d of %d complete: %+v", r.Refused, r.Searches.Complete, r.Searches.Answered, r.Refusals)
	}
	counts, err := c.Counts(t.Context())
	must(t, err)
	for _, name := range names {
		if one := counts[name]; one.MaxExcess > 0 || one.FailOvers > 0 {
			t.Errorf("%s had %d requests more at once than it bore, %d fail-overs", name, one.MaxExcess, one.FailOvers)
		}
	}
}

// Guards against a tier that stops answering while the configuration service
// is down, that cannot start an instance meanwhile, or that misses what is
// published once the service is back.
func TestConfigurationServiceDown(t *testing.T) {
	t.Parallel()
	c := start(t)
	must(t, c.ConfigService.SetFaults(t.Context(), platform.Faults{Down: true}))
	// Longer than the age of 2 s at which a confirmation expires.
	wait := startLoad(t, c, c.Entries(), 5*time.Second)
	r := wait()
	checkLoad(t, r)
	if r.Refused > 0 || r.Searches.MinCoverage != 1 {
		t.Errorf("%d refused, least coverage %v while the service was down: %+v", r.Refused, r.Searches.MinCoverage, r.Refusals)
	}
	replaced := c.Instances[0]
	must(t, replaced.Stop(c.Spec.StopTimeout.D()))
	must(t, c.StartInstance(replaced))
	must(t, c.AwaitInForce(t.Context(), recoveryBound)) // from its peers
	must(t, c.ConfigService.SetFaults(t.Context(), platform.Faults{}))
	must(t, c.PublishStepsInForce(t.Context(), 1))
	must(t, c.AwaitInForce(t.Context(), backoffBound+inForceBound))
	must(t, c.AwaitComplete(t.Context(), recoveryBound))
	must(t, c.Stop())
}
