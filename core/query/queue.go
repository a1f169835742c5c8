package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// work is one unit of work at the lead of a target.
type work struct {
	request
	target    int32
	attempt   int32 // own attempt, none if relayed or abandoned
	peer      int32 // instance that relayed it, none if own
	ref       model.WorkRef
	hedge     bool
	inFlight  bool
	direct    bool // sent by a baseline policy without a lead
	cancelled bool
	arrived   time.Duration
	sent      time.Duration // to the target
	pos       int32         // in the queue, none if not queued
	order     uint64
	most      int // own work in flight at the target while this one ran
}

// leadState is the state of a target at its lead.
type leadState struct {
	queue    []int32 // heap by deadline
	flight   []int32
	settling []time.Duration // ends of the slots that still count as taken, rising
	stalled  bool            // the queue was handed back since the last reply
	timer    int32
	dirty    bool
	warmth
}

func (e *Engine) newWork(t int32, r request, hedge bool) int32 {
	i, w := e.works.alloc()
	e.workOrder++
	*w = work{
		request: r, target: t, attempt: none, peer: none, hedge: hedge,
		arrived: e.now, pos: none, order: e.workOrder, direct: e.direct(),
	}
	return i
}

// workID is unique in the process. Its top bits come from the incarnation, so
// that ids of consecutive lives differ.
func (e *Engine) workID(i int32) model.WorkID {
	return model.WorkID(uint64(e.cfg.Incarnation)<<(slotBits+genBits) | e.works.id(i))
}

func (e *Engine) findWork(id model.WorkID) int32 {
	if uint64(id)>>(slotBits+genBits) != uint64(e.cfg.Incarnation)&(1<<(64-slotBits-genBits)-1) {
		return none
	}
	return e.works.find(uint64(id) & (1<<(slotBits+genBits) - 1))
}

// enqueue accepts work for a led target or gives it back.
func (e *Engine) enqueue(i int32) {
	w := e.works.at(i)
	t := &e.targets[w.target]
	if kind := e.refusal(w); kind != model.KindNone {
		e.workDone(i, outcome{err: kind, execution: model.NotRun})
		return
	}
	if w.direct {
		e.sendWork(i)
		return
	}
	t.push(&e.works, i)
	e.markTarget(w.target)
}

// refusal says why work cannot be accepted, KindNone if it can.
func (e *Engine) refusal(w *work) model.Kind {
	t := &e.targets[w.target]
	switch {
	case !e.maySend():
		return e.notReady()
	case !t.eligible:
		return model.KindTargetOut
	case e.now >= w.deadline:
		return model.KindDeadline
	case w.direct:
		return model.KindNone
	case !t.lead.Self:
		return model.KindNotLead
	case e.now+e.waitBefore(w)+e.leastTime(w) >= w.deadline:
		return model.KindOverloaded
	}
	return model.KindNone
}

func (e *Engine) markTarget(i int32) {
	if t := &e.targets[i]; !t.dirty {
		t.dirty = true
		e.dirtyTargets = append(e.dirtyTargets, i)
	}
}

// runTarget sends queued work while the target has room and gives back what
// can no longer be sent.
func (e *Engine) runTarget(i int32) {
	t := &e.targets[i]
	t.dirty = false
	if len(t.queue) > 0 {
		switch {
		case !e.maySend():
			e.handBack(i, e.notReady())
		case !t.eligible:
			e.handBack(i, model.KindTargetOut)
		case !t.lead.Self:
			e.handBack(i, model.KindNotLead)
		default:
			e.pump(i)
			e.handBackStalled(i)
		}
	}
	if t.draining && t.taken(e.now) == 0 {
		e.leadDrained(i)
	}
	e.setTargetTimer(t)
}

// setTargetTimer sets the timer to the next time at which queued work expires,
// a slot has settled or the target has stalled.
func (e *Engine) setTargetTimer(t *target) {
	at := model.NoWake
	if len(t.queue) > 0 {
		first := e.works.at(t.queue[0])
		at = first.deadline - e.leastTime(first)
	}
	t.taken(e.now) // drops the slots that have settled
	if len(t.queue) > 0 && !t.stalled {
		at = min(at, e.stallAt(t))
	}
	if len(t.settling) > 0 && (len(t.queue) > 0 || t.draining) {
		at = min(at, t.settling[0])
	}
	if at == model.NoWake {
		e.timers.clear(t.timer)
		return
	}
	e.timers.set(t.timer, at)
}

func (e *Engine) pump(i int32) {
	t := &e.targets[i]
	for len(t.queue) > 0 {
		w := t.queue[0]
		if x := e.works.at(w); e.now+e.leastTime(x) >= x.deadline {
			t.pop(&e.works, 0)
			e.workDone(w, outcome{err: model.KindDeadline, execution: model.NotRun})
			continue
		}
		if !t.lead.Active || t.taken(e.now) >= t.room() {
			return
		}
		t.pop(&e.works, 0)
		e.sendWork(w)
	}
}

// leastTime is the time that work needs at the target. It is at most half of
// the time that the work had when it arrived, so that a latency estimate
// above all budgets cannot stop the traffic that would correct it.
func (e *Engine) leastTime(w *work) time.Duration {
	return min(e.targets[w.target].service, (w.deadline-w.arrived)/2)
}

// handBack returns all queued work as not run.
func (e *Engine) handBack(i int32, kind model.Kind) {
	t := &e.targets[i]
	for len(t.queue) > 0 {
		w := t.queue[0]
		t.pop(&e.works, 0)
		e.workDone(w, outcome{err: kind, execution: model.NotRun})
	}
}

func (e *Engine) sendWork(i int32) {
	w := e.works.at(i)
	t := &e.targets[w.target]
	w.inFlight, w.sent = true, e.now
	t.flight = append(t.flight, i)
	taken := t.taken(e.now)
	for _, x := range t.flight {
		y := e.works.at(x)
		y.most = max(y.most, taken)
	}
	e.emit(model.SendTarget{
		Work: e.workID(i), Target: t.id, Address: t.address,
		BookingID: w.booking, Snapshot: w.snapshot, Deadline: w.deadline,
		RequestID: w.requestID, Body: w.body, Trace: w.trace, Hedge: w.hedge,
	})
}

// targetReply ends work in flight.
func (e *Engine) targetReply(in model.TargetReply) {
	i := e.findWork(in.Work)
	if i == none || !e.works.at(i).inFlight {
		return
	}
	w := e.works.at(i)
	t := &e.targets[w.target]
	for k, x := range t.flight {
		if x == i {
			t.flight = append(t.flight[:k], t.flight[k+1:]...)
			break
		}
	}
	if !w.direct {
		e.learn(w, &in)
		if in.Execution != model.NotRun && (in.Error == model.KindCancelled || in.Error == model.KindDeadline) {
			t.settling = append(t.settling, e.now+cancelSettle)
		}
	}
	t.stalled = false
	e.markTarget(w.target)
	e.workDone(i, outcome{err: in.Error, execution: in.Execution, answer: in.Answer})
}

// workDone gives the outcome to the attempt or the instance that asked.
func (e *Engine) workDone(i int32, o outcome) {
	w := *e.works.at(i)
	*e.works.at(i) = work{}
	e.works.release(i)
	switch {
	case w.attempt != none:
		o.level = e.targets[w.target].level
		e.attemptDone(w.attempt, o)
	case w.peer != none:
		delete(e.workIndex, w.ref)
		e.replyTo(w.peer, w.ref, w.target, o)
	}
}

// cancelWork drops queued work and cancels work in flight, which still counts
// as in flight until its reply.
func (e *Engine) cancelWork(i int32) {
	w := e.works.at(i)
	w.attempt = none
	if !w.inFlight {
		if w.pos != none {
			e.targets[w.target].pop(&e.works, w.pos)
		}
		e.markTarget(w.target)
		e.workDone(i, outcome{err: model.KindCancelled, execution: model.NotRun})
		return
	}
	if !w.cancelled && w.booking == "" {
		// A booking in flight goes on: its outcome is recorded for repeats.
		w.cancelled = true
		e.emit(model.CancelTarget{Work: e.workID(i)})
	}
}
