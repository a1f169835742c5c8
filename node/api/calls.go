package api

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"galenadyke.dev/core/model"
)

// answerGrace is how long after the deadline of a call the API still waits for the
// core. The core answers before the deadline, unless the process was suspended or
// is overloaded.
const answerGrace = 500 * time.Millisecond

// defaultCallTimeout bounds the calls that take no deadline, such as GET /v1/status.
const defaultCallTimeout = 2 * time.Second

// pendingCalls passes answers from the core to the calls that wait for them.
type pendingCalls struct {
	lastID atomic.Uint64

	mu      sync.Mutex // guards waiting; held for map operations only
	waiting map[model.CallID]chan model.Output
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{waiting: make(map[model.CallID]chan model.Output)}
}

// register returns a new call id and the channel for its answer.
func (c *pendingCalls) register() (model.CallID, <-chan model.Output) {
	id := model.CallID(c.lastID.Add(1))
	answer := make(chan model.Output, 1)
	c.mu.Lock()
	c.waiting[id] = answer
	c.mu.Unlock()
	return id, answer
}

func (c *pendingCalls) unregister(id model.CallID) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
}

// deliver passes an answer to the waiting call without blocking. It drops the
// answer if the call has ended, so that the answer never reaches another caller.
func (c *pendingCalls) deliver(id model.CallID, out model.Output) {
	c.mu.Lock()
	answer := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if answer != nil {
		answer <- out
	}
}

// wait submits a call and waits for its answer. If the caller disconnects, or the
// core does not answer within the timeout, wait submits CancelCall and returns an
// error. All its errors are of type *model.Error.
func (c *pendingCalls) wait(ctx context.Context, submit func(model.Input) bool, timeout time.Duration, newInput func(model.CallID) model.Input) (model.Output, error) {
	id, answer := c.register()
	defer c.unregister(id)
	if !submit(newInput(id)) {
		return nil, refusal(model.KindStopping, "the instance has stopped; send the call to another one")
	}
	timer := time.NewTimer(timeout)
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
