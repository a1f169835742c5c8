package api

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"galenadyke.dev/core/model"
)

// answerGrace is the time after the deadline of a call at which the API stops
// waiting for the core. The core answers before the deadline; only a process
// that was stopped or is overloaded comes this far.
const answerGrace = 500 * time.Millisecond

// statusTimeout bounds calls that have no deadline of their own.
const statusTimeout = 2 * time.Second

// calls matches the core's answers with the calls that wait for them.
type calls struct {
	last atomic.Uint64

	mu      sync.Mutex // guards waiting; held for map operations only
	waiting map[model.CallID]chan model.Output
}

func newCalls() *calls { return &calls{waiting: make(map[model.CallID]chan model.Output)} }

func (c *calls) begin() (model.CallID, <-chan model.Output) {
	id := model.CallID(c.last.Add(1))
	answer := make(chan model.Output, 1)
	c.mu.Lock()
	c.waiting[id] = answer
	c.mu.Unlock()
	return id, answer
}

func (c *calls) end(id model.CallID) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
}

// deliver passes an answer on without blocking. The answer to a call that has
// gone is dropped, so that it can never reach another caller.
func (c *calls) deliver(id model.CallID, out model.Output) {
	c.mu.Lock()
	answer := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if answer != nil {
		answer <- out
	}
}

// ask submits a call and waits for its answer. It returns nil if the caller has
// gone or the core has not answered in time; the core is then told.
func (c *calls) ask(ctx context.Context, submit func(model.Input) bool, limit time.Duration, input func(model.CallID) model.Input) (model.Output, error) {
	id, answer := c.begin()
	defer c.end(id)
	if !submit(input(id)) {
		return nil, refusal(model.KindStopping, "the instance has stopped; send the call to another one")
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case out := <-answer:
		return out, nil
	case <-ctx.Done():
		submit(model.CancelCall{Call: id})
		return nil, &model.Error{Kind: model.KindCancelled, Execution: model.Unknown, Message: "the caller has closed the connection"}
	case <-timer.C:
		submit(model.CancelCall{Call: id})
		return nil, &model.Error{Kind: model.KindDeadline, Execution: model.Unknown,
			Message: "the deadline passed without an answer from this instance; it may have been stopped for a time"}
	}
}
