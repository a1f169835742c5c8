package driver

import (
	"time"

	"galenadyke.dev/core/model"
)

// Engine is a decision core with its own inputs and outputs. *engine.Engine and
// *gateway.Gateway implement it.
type Engine[In, Out any] interface {
	Step(In)
	Tick(model.Now) []Out
	NextWake() time.Duration
}

// Actor carries out outputs. It is called from the loop's goroutine only and
// must never block: what takes time it starts elsewhere.
type Actor[Out any] interface{ Act(Out) }

// Recorder keeps the inputs of a tick with its outputs, in one step, so that a
// reader never sees a tick without its outputs. The slices are valid during the
// call.
type Recorder[In, Out any] interface {
	Record(now model.Now, inputs []In, outputs []Out)
}

const (
	// inputQueue is the number of inputs that wait for the loop before senders
	// have to wait. It holds the replies to more than ten queries over 85
	// targets that arrive in one tick.
	inputQueue = 4096
	// maxBatch bounds the inputs of one tick, so that a timer is late by the
	// time of one batch at most.
	maxBatch = 256
)

// Config configures a Loop. All fields but Recorder, Observe and Ticked are
// required.
type Config[In, Out any] struct {
	Engine   Engine[In, Out]
	Actor    Actor[Out]
	Recorder Recorder[In, Out]
	Clock    Clock
	// Observe, if set, is called with the inputs before the engine gets them. The
	// slice is valid during the call.
	Observe func(inputs []In)
	// Ticked, if set, is called after each tick with the time that the inputs
	// and the outputs took.
	Ticked func(inputs int, busy time.Duration)
}

// Loop owns the engine. Submit may be called from any goroutine.
type Loop[In, Out any] struct {
	cfg    Config[In, Out]
	inputs chan In
	stop   chan struct{}
	done   chan struct{}
	batch  []In // owned by Run
}

// NewLoop returns a loop that Run starts.
func NewLoop[In, Out any](cfg Config[In, Out]) *Loop[In, Out] {
	return &Loop[In, Out]{
		cfg:    cfg,
		inputs: make(chan In, inputQueue),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		batch:  make([]In, 0, maxBatch),
	}
}

// Submit passes an input to the engine. It waits while the queue is full, and
// reports false if the loop has ended. The Actor must not call it.
func (l *Loop[In, Out]) Submit(in In) bool {
	select {
	case l.inputs <- in:
		return true
	case <-l.done:
		return false
	}
}

// Stop makes Run return after the present tick.
func (l *Loop[In, Out]) Stop() { close(l.stop) }

// Done is closed when Run has returned.
func (l *Loop[In, Out]) Done() <-chan struct{} { return l.done }

// Queued is the number of inputs that wait.
func (l *Loop[In, Out]) Queued() int { return len(l.inputs) }

// Run steps and ticks the engine until Stop. It ticks once at the start, so
// that the engine can set its timers.
//
// The timer runs on CLOCK_MONOTONIC, as Go has no other. After a sleep of the
// machine it fires late by the time that was left before the sleep; the engine
// sees the sleep in the two clocks of that tick.
func (l *Loop[In, Out]) Run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.batch = l.batch[:0]
		select {
		case in := <-l.inputs:
			l.batch = append(l.batch, in)
			l.drain()
		case <-timer.C:
			l.drain()
		case <-l.stop:
			return
		}
		l.tick()
		l.arm(timer)
	}
}

// drain adds the inputs that are waiting, up to maxBatch.
func (l *Loop[In, Out]) drain() {
	for len(l.batch) < maxBatch {
		select {
		case in := <-l.inputs:
			l.batch = append(l.batch, in)
		default:
			return
		}
	}
}

func (l *Loop[In, Out]) tick() {
	now := l.cfg.Clock.Now()
	if l.cfg.Observe != nil {
		l.cfg.Observe(l.batch)
	}
	for _, in := range l.batch {
		l.cfg.Engine.Step(in)
	}
	outputs := l.cfg.Engine.Tick(now)
	for _, out := range outputs {
		l.cfg.Actor.Act(out)
	}
	if l.cfg.Recorder != nil {
		l.cfg.Recorder.Record(now, l.batch, outputs) // after Act, so that nothing is sent later for it
	}
	if l.cfg.Ticked != nil {
		l.cfg.Ticked(len(l.batch), l.cfg.Clock.Now().Mono-now.Mono)
	}
	clear(l.batch) // let bodies be collected while the loop waits
}

func (l *Loop[In, Out]) arm(timer *time.Timer) {
	wake := l.cfg.Engine.NextWake()
	if wake == model.NoWake {
		timer.Stop()
		return
	}
	timer.Reset(max(0, wake-l.cfg.Clock.Now().Boot))
}
