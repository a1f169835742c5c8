package driver

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/trace"
)

// fakeEngine records its inputs and ticks. It runs in a synctest bubble, in which
// time advances only while all goroutines are blocked.
type fakeEngine struct {
	steps []model.Input
	ticks []tick
	wake  func(now time.Duration) time.Duration
	now   time.Duration
}

type tick struct {
	at     model.Now
	inputs int
}

func (e *fakeEngine) Step(in model.Input) { e.steps = append(e.steps, in) }

func (e *fakeEngine) Tick(now model.Now) []model.Output {
	earlier := 0
	for _, t := range e.ticks {
		earlier += t.inputs
	}
	e.ticks = append(e.ticks, tick{at: now, inputs: len(e.steps) - earlier})
	e.now = now.Boot
	return []model.Output{model.Ready{Ready: true}}
}

func (e *fakeEngine) NextWake() time.Duration { return e.wake(e.now) }

// bubbleClock reads the fake time of the bubble. Boot also includes the time for
// which the machine was suspended.
type bubbleClock struct {
	start     time.Time
	suspended time.Duration
}

func (c *bubbleClock) Now() model.Now {
	mono := time.Since(c.start)
	return model.Now{Mono: mono, Boot: mono + c.suspended}
}

// countingActor counts the outputs that it is given.
type countingActor struct{ outputs int }

func (a *countingActor) Act(model.Output) { a.outputs++ }

// runLoop runs a loop in a bubble and calls body while it runs. wake returns the time of the
// engine's next wake-up after a tick at the given time, both on the Boot clock.
func runLoop(t *testing.T, wake func(time.Duration) time.Duration, body func(l *Loop[model.Input, model.Output], e *fakeEngine, c *bubbleClock)) {
	synctest.Test(t, func(*testing.T) {
		e := &fakeEngine{wake: wake}
		clock := &bubbleClock{start: time.Now()}
		actor := &countingActor{}
		l := NewLoop(Config[model.Input, model.Output]{Engine: e, Actor: actor, Recorder: NewRing(model.CoreConfig{}, 10), Clock: clock})
		go l.Run()
		synctest.Wait()
		body(l, e, clock)
		l.Stop()
		<-l.Done()
		if actor.outputs != len(e.ticks) {
			t.Errorf("got %d outputs carried out after %d ticks, want one for each tick", actor.outputs, len(e.ticks))
		}
		if l.Submit(model.Shutdown{}) && l.Queued() == 0 {
			t.Error("Submit after the end of the loop: got true with an empty queue, want false")
		}
	})
}

// noWake is the wake function of an engine without timers.
func noWake(time.Duration) time.Duration { return model.NoWake }

// Guards against a loop that ticks without need, or that misses the engine's
// wake-up time.
func TestTicksAtNextWakeOnly(t *testing.T) {
	const ms = time.Millisecond
	wakes := map[time.Duration]time.Duration{0: 30 * ms, 30 * ms: 35 * ms, 35 * ms: model.NoWake}
	runLoop(t, func(now time.Duration) time.Duration { return wakes[now] }, func(_ *Loop[model.Input, model.Output], e *fakeEngine, _ *bubbleClock) {
		time.Sleep(time.Hour) // fake time
		synctest.Wait()
		want := []tick{{}, {at: model.Now{Mono: 30 * ms, Boot: 30 * ms}}, {at: model.Now{Mono: 35 * ms, Boot: 35 * ms}}}
		if diff := cmp.Diff(want, e.ticks, cmp.AllowUnexported(tick{})); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against inputs that are lost or reordered, and against batches over the
// limit.
func TestInputsArriveInOrderAndInBatches(t *testing.T) {
	runLoop(t, noWake, func(l *Loop[model.Input, model.Output], e *fakeEngine, _ *bubbleClock) {
		var want []model.Input
		for i := range 3 * maxBatch {
			in := model.CancelCall{Call: model.CallID(i)}
			want = append(want, in)
			l.Submit(in)
		}
		synctest.Wait()
		if diff := cmp.Diff(want, e.steps); diff != "" {
			t.Error(diff)
		}
		for _, tk := range e.ticks {
			if tk.inputs > maxBatch {
				t.Errorf("got a tick with %d inputs, want at most %d", tk.inputs, maxBatch)
			}
		}
	})
}

// Guards against a suspension of the machine that the core cannot see: Boot must be
// ahead of Mono by the length of the suspension.
func TestSuspensionShowsInTheClocksOfTheNextTick(t *testing.T) {
	runLoop(t, noWake, func(l *Loop[model.Input, model.Output], e *fakeEngine, c *bubbleClock) {
		c.suspended = time.Minute
		l.Submit(model.Shutdown{})
		synctest.Wait()
		if got := e.ticks[1].at; got.Boot-got.Mono != time.Minute {
			t.Errorf("got a tick at %+v, want Boot one minute ahead of Mono", got)
		}
	})
}

// Guards against Mono and Boot being swapped: Boot is never behind Mono.
func TestSystemClock(t *testing.T) {
	now := SystemClock{}.Now()
	if now.Mono <= 0 || now.Boot < now.Mono {
		t.Errorf("got %+v, want Mono above 0 and Boot not behind it", now)
	}
}

// Guards against a ring that grows beyond its limits, and against a dump that does
// not state the number of dropped records.
func TestRingKeepsTheLatestInputs(t *testing.T) {
	r := NewRing(model.CoreConfig{Self: "a"}, 5)
	r.maxBytes = 4096
	for i := range 100 {
		r.Record(model.Now{Boot: time.Duration(i)}, []model.Input{model.CancelCall{Call: model.CallID(i)}, model.Shutdown{}}, nil)
	}
	big := model.SearchCall{Body: make([]byte, r.maxBytes/2+1)}
	header, records := dump(t, r)
	if header.Dropped != 98 || header.Config.Self != "a" || len(records) != 2 || records[1].Boot != 99 {
		t.Errorf("got header %+v and %d records, want 98 dropped and the latest 2 of instance a", header, len(records))
	}
	r.Record(model.Now{}, []model.Input{big}, nil)
	r.Record(model.Now{}, []model.Input{big}, nil)
	if _, records := dump(t, r); len(records) != 1 {
		t.Errorf("got %d records, want the one that fits into %d bytes", len(records), r.maxBytes)
	}
}

// dump returns the header and the records of the ring's dump.
func dump(t *testing.T, r *Ring) (trace.Header, []trace.Record) {
	t.Helper()
	var buf bytes.Buffer
	if err := r.Dump(&buf); err != nil {
		t.Fatal(err)
	}
	reader, header, err := trace.NewReader(&buf)
	if err != nil {
		t.Fatal(err)
	}
	var records []trace.Record
	for {
		rec, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return header, records
		}
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, rec)
	}
}

// Guards against outputs that do not count toward the limit in bytes, or that are
// recorded with the wrong tick.
func TestRingKeepsOutputsWithTheirTick(t *testing.T) {
	r := NewRing(model.CoreConfig{}, 100)
	r.maxBytes = 8192
	for i := range 3 {
		r.Record(model.Now{Boot: time.Duration(i)}, nil, []model.Output{model.BookAnswer{Call: model.CallID(i), Body: make([]byte, r.maxBytes/4)}})
	}
	header, records := dump(t, r)
	if !header.Outputs || header.Dropped != 0 || len(records) != 3 || records[1].Outputs[0].(model.BookAnswer).Call != 1 {
		t.Errorf("got header %+v and %d records, want 3 records with their own outputs, none dropped", header, len(records))
	}
	r.Record(model.Now{}, nil, []model.Output{model.BookAnswer{Body: make([]byte, r.maxBytes/2)}})
	if header, _ := dump(t, r); header.Dropped != 2 {
		t.Errorf("got %d records dropped, want 2", header.Dropped)
	}
}
