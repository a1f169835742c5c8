package driver

import (
	"time"

	"galenadyke.dev/core/model"
)

// Engine is a decision core with its types of inputs and outputs. *engine.Engine
// and *gateway.Gateway implement it.
type Engine[In, Out any] interface {
	Step(In)
	Tick(model.Now) []Out
	NextWake() time.Duration
}

// Actor carries out outputs. Act is called from the loop's goroutine only and must
// not block: longer work is started on other goroutines.
type Actor[Out any] interface{ Act(Out) }

// Recorder records the inputs of a tick together with its outputs, in one step, so
// that a reader never sees a tick without its outputs. The slices are valid only
// during the call.
type Recorder[In, Out any] interface {
	Record(now model.Now, inputs []In, outputs []Out)
}

const (
	// inputQueueSize is the number of inputs that can wait for the loop before
	// Submit blocks. It has room for the replies to more than ten queries over 85
	// targets that arrive during one tick.
	inputQueueSize = 4096
	// maxBatch bounds the inputs of one tick, so that a timer is late by at most
	// the time that one batch takes.
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
	// slice is valid only during the call.
	Observe func(inputs []In)
	// Ticked, if set, is called after each tick with the number of its inputs and
	// the time that handling them and their outputs took.
	Ticked func(inputs int, busy time.Duration)
}

// Loop owns the engine and runs it on one goroutine. Submit may be called from any
// goroutine.
type Loop[In, Out any] struct {
	cfg    Config[In, Out]
	inputs chan In
	stop   chan struct{}
	done   chan struct{}
	batch  []In // owned by Run
}

// NewLoop returns a loop, which Run starts.
func NewLoop[In, Out any](cfg Config[In, Out]) *Loop[In, Out] {
	return &Loop[In, Out]{
		cfg:    cfg,
		inputs: make(chan In, inputQueueSize),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		batch:  make([]In, 0, maxBatch),
	}
}

// Submit queues an input for the engine. It blocks while the queue is full, and
// returns false if the loop has ended. The Actor must not call it.
func (l *Loop[In, Out]) Submit(in In) bool {
	select {
	case l.inputs <- in:
		return true
	case <-l.done:
		return false
	}
}

// Stop makes Run return after the current tick. It may be called only once.
func (l *Loop[In, Out]) Stop() { close(l.stop) }

// Done is closed when Run has returned.
func (l *Loop[In, Out]) Done() <-chan struct{} { return l.done }

// Queued returns the number of inputs that wait in the queue.
func (l *Loop[In, Out]) Queued() int { return len(l.inputs) }

// Run steps and ticks the engine until Stop. It ticks once at the start, so
// that the engine can set its timers.
//
// Go's timers run on CLOCK_MONOTONIC, which stands still while the machine is
// suspended. After a suspension the timer still waits for what was left of its delay
// when the suspension began, and so may fire late by that much. The engine sees the
// suspension in the two clocks of the next tick.
func (l *Loop[In, Out]) Run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.batch = l.batch[:0]
		select {
		case in := <-l.inputs:
			l.batch = append(l.batch, in)
			l.fillBatch()
		case <-timer.C:
			l.fillBatch()
		case <-l.stop:
			return
		}
		l.tick()
		l.setTimer(timer)
	}
}

// fillBatch adds the waiting inputs to the batch, up to maxBatch.
func (l *Loop[In, Out]) fillBatch() {
	for len(l.batch) < maxBatch {
		select {
		case in := <-l.inputs:
			l.batch = append(l.batch, in)
		default:
			return
		}
	}
}

// tick passes the batch to the engine and carries out the outputs.
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
		l.cfg.Recorder.Record(now, l.batch, outputs) // after Act, so that recording delays no output
	}
	if l.cfg.Ticked != nil {
		l.cfg.Ticked(len(l.batch), l.cfg.Clock.Now().Mono-now.Mono)
	}
	clear(l.batch) // so that bodies can be freed while the loop waits
}

// setTimer sets the timer to the time at which the engine needs its next tick.
func (l *Loop[In, Out]) setTimer(timer *time.Timer) {
	wake := l.cfg.Engine.NextWake()
	if wake == model.NoWake {
		timer.Stop()
		return
	}
	timer.Reset(max(0, wake-l.cfg.Clock.Now().Boot))
}
