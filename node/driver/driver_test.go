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

// fakeEngine records ticks. It runs in a bubble, in which time stands still
// while a goroutine can run.
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
	done := 0
	for _, t := range e.ticks {
		done += t.inputs
	}
	e.ticks = append(e.ticks, tick{at: now, inputs: len(e.steps) - done})
	e.now = now.Boot
	return []model.Output{model.Ready{Ready: true}}
}

func (e *fakeEngine) NextWake() time.Duration { return e.wake(e.now) }

// bubbleClock reads the fake time of the bubble, plus a time that the machine
// slept.
type bubbleClock struct {
	start time.Time
	slept time.Duration
}

func (c *bubbleClock) Now() model.Now {
	mono := time.Since(c.start)
	return model.Now{Mono: mono, Boot: mono + c.slept}
}

type countActor struct{ outputs int }

func (a *countActor) Act(model.Output) { a.outputs++ }

func run(t *testing.T, wake func(time.Duration) time.Duration, body func(l *Loop[model.Input, model.Output], e *fakeEngine, c *bubbleClock)) {
	synctest.Test(t, func(*testing.T) {
		e := &fakeEngine{wake: wake}
		clock := &bubbleClock{start: time.Now()}
		actor := &countActor{}
		l := NewLoop(Config[model.Input, model.Output]{Engine: e, Actor: actor, Recorder: NewRing(model.CoreConfig{}, 10), Clock: clock})
		go l.Run()
		synctest.Wait()
		body(l, e, clock)
		l.Stop()
		<-l.Done()
		if actor.outputs != len(e.ticks) {
			t.Errorf("%d outputs of %d ticks were carried out", actor.outputs, len(e.ticks))
		}
		if l.Submit(model.Shutdown{}) && l.Queued() == 0 {
			t.Error("a stopped loop took an input")
		}
	})
}

func never(time.Duration) time.Duration { return model.NoWake }

// Guards against a loop that polls, or that misses the engine's timer.
func TestTicksAtNextWakeOnly(t *testing.T) {
	const ms = time.Millisecond
	wakes := map[time.Duration]time.Duration{0: 30 * ms, 30 * ms: 35 * ms, 35 * ms: model.NoWake}
	run(t, func(now time.Duration) time.Duration { return wakes[now] }, func(_ *Loop[model.Input, model.Output], e *fakeEngine, _ *bubbleClock) {
		time.Sleep(time.Hour) // fake time
		synctest.Wait()
		want := []tick{{}, {at: model.Now{Mono: 30 * ms, Boot: 30 * ms}}, {at: model.Now{Mono: 35 * ms, Boot: 35 * ms}}}
		if diff := cmp.Diff(want, e.ticks, cmp.AllowUnexported(tick{})); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against inputs that are lost, reordered or ticked one by one.
func TestInputsArriveInOrderAndInBatches(t *testing.T) {
	run(t, never, func(l *Loop[model.Input, model.Output], e *fakeEngine, _ *bubbleClock) {
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
				t.Errorf("a tick had %d inputs, limit %d", tk.inputs, maxBatch)
			}
		}
	})
}

// Guards against a sleep of the machine that the core cannot see, and against a
// timer that waits for the time slept once more.
func TestSleepShowsInTheClocksOfTheNextTick(t *testing.T) {
	run(t, never, func(l *Loop[model.Input, model.Output], e *fakeEngine, c *bubbleClock) {
		c.slept = time.Minute
		l.Submit(model.Shutdown{})
		synctest.Wait()
		if got := e.ticks[1].at; got.Boot-got.Mono != time.Minute {
			t.Errorf("tick at %+v", got)
		}
	})
}

// Guards against clocks that are mixed up: Boot is never behind Mono.
func TestSystemClock(t *testing.T) {
	now := SystemClock{}.Now()
	if now.Mono <= 0 || now.Boot < now.Mono {
		t.Errorf("%+v", now)
	}
}

// Guards against a ring that grows, or a dump that hides what it lacks.
func TestRingKeepsTheLatestInputs(t *testing.T) {
	r := NewRing(model.CoreConfig{Self: "a"}, 5)
	r.maxBytes = 4096
	for i := range 100 {
		r.Record(model.Now{Boot: time.Duration(i)}, []model.Input{model.CancelCall{Call: model.CallID(i)}, model.Shutdown{}}, nil)
	}
	big := model.SearchCall{Body: make([]byte, r.maxBytes/2+1)}
	header, records := dump(t, r)
	if header.Dropped != 98 || header.Config.Self != "a" || len(records) != 2 || records[1].Boot != 99 {
		t.Errorf("header %+v, %d records", header, len(records))
	}
	r.Record(model.Now{}, []model.Input{big}, nil)
	r.Record(model.Now{}, []model.Input{big}, nil)
	if _, records := dump(t, r); len(records) != 1 {
		t.Errorf("%d records, want the one that fits into %d bytes", len(records), r.maxBytes)
	}
}

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

// Guards against outputs that are kept beyond the limit, or with another tick.
func TestRingKeepsOutputsWithTheirTick(t *testing.T) {
	r := NewRing(model.CoreConfig{}, 100)
	r.maxBytes = 8192
	for i := range 3 {
		r.Record(model.Now{Boot: time.Duration(i)}, nil, []model.Output{model.BookAnswer{Call: model.CallID(i), Body: make([]byte, r.maxBytes/4)}})
	}
	header, records := dump(t, r)
	if !header.Outputs || header.Dropped != 0 || len(records) != 3 || records[1].Outputs[0].(model.BookAnswer).Call != 1 {
		t.Errorf("header %+v, %d records", header, len(records))
	}
	r.Record(model.Now{}, nil, []model.Output{model.BookAnswer{Body: make([]byte, r.maxBytes/2)}})
	if header, _ := dump(t, r); header.Dropped != 2 {
		t.Errorf("%d records dropped, want 2", header.Dropped)
	}
}
