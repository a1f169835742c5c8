package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// work is one request to a target, queued or in flight at the target's lead.
type work struct {
	request
	target       int32
	attempt      int32         // attempt of this instance, none if relayed or cancelled
	peer         int32         // instance that relayed the work, none for an attempt of this instance
	ref          model.WorkRef // reference that the relaying instance assigned
	hedge        bool
	inFlight     bool
	bypassesLead bool // sent by a baseline policy, without regard to leads
	cancelled    bool
	arrivedAt    time.Duration
	sentAt       time.Duration // when sent to the target
	queuePos     int32         // index in the target's queue, none if not queued
	seq          uint64        // order of creation; breaks ties of the deadline
	peakOccupied int           // largest number of slots that this lead occupied while the work was in flight
}

// leadState is the part of a target's state that its lead uses.
type leadState struct {
	queue         []int32 // heap by deadline
	inFlight      []int32
	settlingUntil []time.Duration // when each slot of cancelled work becomes free, ascending
	stalled       bool            // the queue was returned and no reply has come since
	timer         int32
	dirty         bool
	warmupState
}

func (e *Engine) newWork(t int32, r request, hedge bool) int32 {
	i, w := e.works.alloc()
	e.lastWorkSeq++
	*w = work{
		request: r, target: t, attempt: none, peer: none, hedge: hedge,
		arrivedAt: e.now, queuePos: none, seq: e.lastWorkSeq, bypassesLead: e.bypassesLeads(),
	}
	return i
}

// workID returns an id that is unique in the process. Its top bits come from the
// incarnation, so that ids of consecutive incarnations differ.
func (e *Engine) workID(i int32) model.WorkID {
	return model.WorkID(uint64(e.cfg.Incarnation)<<(slotBits+genBits) | e.works.id(i))
}

func (e *Engine) findWork(id model.WorkID) int32 {
	if uint64(id)>>(slotBits+genBits) != uint64(e.cfg.Incarnation)&(1<<(64-slotBits-genBits)-1) {
		return none
	}
	return e.works.find(uint64(id) & (1<<(slotBits+genBits) - 1))
}

// enqueue queues work for a led target, or ends it as not run if it cannot be
// accepted. Work that bypasses the lead is sent at once.
func (e *Engine) enqueue(i int32) {
	w := e.works.at(i)
	t := &e.targets[w.target]
	if kind := e.refusalKind(w); kind != model.KindNone {
		e.finishWork(i, outcome{kind: kind, execution: model.NotRun})
		return
	}
	if w.bypassesLead {
		e.sendWork(i)
		return
	}
	t.pushWork(&e.works, i)
	e.markTargetDirty(w.target)
}

// refusalKind returns why work cannot be accepted, or KindNone if it can.
func (e *Engine) refusalKind(w *work) model.Kind {
	t := &e.targets[w.target]
	switch {
	case !e.maySend():
		return e.notReadyKind()
	case !t.eligible:
		return model.KindTargetOut
	case e.now >= w.deadline:
		return model.KindDeadline
	case w.bypassesLead:
		return model.KindNone
	case !t.lead.Self:
		return model.KindNotLead
	case e.now+e.waitByDeadline(w)+e.assumedServiceTime(w) >= w.deadline:
		return model.KindOverloaded
	}
	return model.KindNone
}

func (e *Engine) markTargetDirty(i int32) {
	if t := &e.targets[i]; !t.dirty {
		t.dirty = true
		e.dirtyTargets = append(e.dirtyTargets, i)
	}
}

// runTarget sends queued work while the target has free slots and ends work that
// has expired. It returns the whole queue if work may not be sent to the target or
// the target has stalled.
func (e *Engine) runTarget(i int32) {
	t := &e.targets[i]
	t.dirty = false
	if len(t.queue) > 0 {
		switch {
		case !e.maySend():
			e.returnQueue(i, e.notReadyKind())
		case !t.eligible:
			e.returnQueue(i, model.KindTargetOut)
		case !t.lead.Self:
			e.returnQueue(i, model.KindNotLead)
		default:
			e.sendQueued(i)
			e.returnStalledQueue(i)
		}
	}
	if t.leadDraining && t.occupiedSlots(e.now) == 0 {
		e.reportDrained(i)
	}
	e.setTargetTimer(t)
}

// setTargetTimer sets the timer to the earliest time at which queued work
// expires, a slot of cancelled work becomes free or the target counts as stalled.
func (e *Engine) setTargetTimer(t *target) {
	at := model.NoWake
	if len(t.queue) > 0 {
		first := e.works.at(t.queue[0])
		at = first.deadline - e.assumedServiceTime(first)
	}
	t.occupiedSlots(e.now) // drops the slots that have become free
	if len(t.queue) > 0 && !t.stalled {
		at = min(at, e.stallAt(t))
	}
	if len(t.settlingUntil) > 0 && (len(t.queue) > 0 || t.leadDraining) {
		at = min(at, t.settlingUntil[0])
	}
	if at == model.NoWake {
		e.timers.clear(t.timer)
		return
	}
	e.timers.set(t.timer, at)
}

// sendQueued sends work in order of deadline while the target has free slots.
// Expired work ends as not run.
func (e *Engine) sendQueued(i int32) {
	t := &e.targets[i]
	for len(t.queue) > 0 {
		w := t.queue[0]
		if x := e.works.at(w); e.now+e.assumedServiceTime(x) >= x.deadline {
			t.removeWork(&e.works, 0)
			e.finishWork(w, outcome{kind: model.KindDeadline, execution: model.NotRun})
			continue
		}
		if !t.lead.Active || t.occupiedSlots(e.now) >= t.allowedInFlight() {
			return
		}
		t.removeWork(&e.works, 0)
		e.sendWork(w)
	}
}

// assumedServiceTime returns the time that the work is assumed to need at the target.
// It is at most half of the budget that the work had on arrival. Without this
// bound, a latency estimate above all budgets would stop the traffic that corrects
// the estimate.
func (e *Engine) assumedServiceTime(w *work) time.Duration {
	return min(e.targets[w.target].serviceTime, (w.deadline-w.arrivedAt)/2)
}

// returnQueue ends all queued work of a target as not run, so that the entry
// instances and owners of booking ids that sent it can choose another target.
func (e *Engine) returnQueue(i int32, kind model.Kind) {
	t := &e.targets[i]
	for len(t.queue) > 0 {
		w := t.queue[0]
		t.removeWork(&e.works, 0)
		e.finishWork(w, outcome{kind: kind, execution: model.NotRun})
	}
}

func (e *Engine) sendWork(i int32) {
	w := e.works.at(i)
	t := &e.targets[w.target]
	w.inFlight, w.sentAt = true, e.now
	t.inFlight = append(t.inFlight, i)
	occupied := t.occupiedSlots(e.now)
	for _, j := range t.inFlight {
		other := e.works.at(j)
		other.peakOccupied = max(other.peakOccupied, occupied)
	}
	e.emit(model.SendTarget{
		Work: e.workID(i), Target: t.id, Address: t.address,
		BookingID: w.booking, Snapshot: w.snapshot, Deadline: w.deadline,
		RequestID: w.requestID, Body: w.body, Trace: w.trace, Hedge: w.hedge,
	})
}

// handleTargetReply ends the work in flight that the target replied to.
func (e *Engine) handleTargetReply(in model.TargetReply) {
	i := e.findWork(in.Work)
	if i == none || !e.works.at(i).inFlight {
		return
	}
	w := e.works.at(i)
	t := &e.targets[w.target]
	for k, x := range t.inFlight {
		if x == i {
			t.inFlight = append(t.inFlight[:k], t.inFlight[k+1:]...)
			break
		}
	}
	if !w.bypassesLead {
		e.updateFromReply(w, &in)
		if in.Execution != model.NotRun && (in.Error == model.KindCancelled || in.Error == model.KindDeadline) {
			t.settlingUntil = append(t.settlingUntil, e.now+cancelSettleTime)
		}
	}
	t.stalled = false
	e.markTargetDirty(w.target)
	e.finishWork(i, outcome{kind: in.Error, execution: in.Execution, answer: in.Answer})
}

// finishWork frees the work and passes the outcome to its attempt or to the
// instance that relayed the work.
func (e *Engine) finishWork(i int32, o outcome) {
	w := *e.works.at(i)
	*e.works.at(i) = work{}
	e.works.release(i)
	switch {
	case w.attempt != none:
		o.level = e.targets[w.target].level
		e.finishAttempt(w.attempt, o)
	case w.peer != none:
		delete(e.workIndex, w.ref)
		e.queueReply(w.peer, w.ref, w.target, o)
	}
}

// cancelWork ends queued work and sends a cancellation for work in flight, which
// counts as in flight until the target's reply. A booking in flight is not
// cancelled.
func (e *Engine) cancelWork(i int32) {
	w := e.works.at(i)
	w.attempt = none
	if !w.inFlight {
		if w.queuePos != none {
			e.targets[w.target].removeWork(&e.works, w.queuePos)
		}
		e.markTargetDirty(w.target)
		e.finishWork(i, outcome{kind: model.KindCancelled, execution: model.NotRun})
		return
	}
	if !w.cancelled && w.booking == "" {
		// A booking in flight continues: its outcome is recorded for repeats.
		w.cancelled = true
		e.emit(model.CancelTarget{Work: e.workID(i)})
	}
}
