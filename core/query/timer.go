package query

import (
	"time"

	"galenadyke.dev/core/model"
)

type timerKind uint8

const (
	timerCall timerKind = iota
	timerTarget
	timerBooking
	timerLedger
)

// timer is a timer of one entity. It is in the heap while it is set.
type timer struct {
	at    time.Duration
	seq   uint64 // order in which timers were set; breaks ties
	kind  timerKind
	owner int32 // index of the entity, none for the ledger
	pos   int32 // index in the heap, none if not set
}

// timers holds all timers of the data plane, the set ones in a heap by time.
type timers struct {
	all  table[timer]
	heap []int32
	seq  uint64
}

func (h *timers) create(kind timerKind, owner int32) int32 {
	i, t := h.all.alloc()
	*t = timer{kind: kind, owner: owner, pos: none}
	return i
}

func (h *timers) remove(i int32) {
	h.clear(i)
	h.all.release(i)
}

func (h *timers) set(i int32, at time.Duration) {
	t := h.all.at(i)
	if t.pos != none && t.at == at {
		return
	}
	h.seq++
	t.at, t.seq = at, h.seq
	if t.pos == none {
		t.pos = int32(len(h.heap))
		h.heap = append(h.heap, i)
	}
	h.fix(t.pos)
}

func (h *timers) clear(i int32) {
	t := h.all.at(i)
	if t.pos == none {
		return
	}
	pos, last := t.pos, int32(len(h.heap)-1)
	t.pos = none
	if pos != last {
		h.put(pos, h.heap[last])
	}
	h.heap = h.heap[:last]
	if pos != last {
		h.fix(pos)
	}
}

// popDue clears and returns the earliest timer that is due, nil if none is.
func (h *timers) popDue(now time.Duration) *timer {
	if len(h.heap) == 0 {
		return nil
	}
	i := h.heap[0]
	t := h.all.at(i)
	if t.at > now {
		return nil
	}
	h.clear(i)
	return t
}

// next returns the time of the earliest timer, model.NoWake if none is set.
func (h *timers) next() time.Duration {
	if len(h.heap) == 0 {
		return model.NoWake
	}
	return h.all.at(h.heap[0]).at
}

// put stores timer i at index pos of the heap.
func (h *timers) put(pos, i int32) {
	h.heap[pos] = i
	h.all.at(i).pos = pos
}

func (h *timers) less(a, b int32) bool {
	x, y := h.all.at(a), h.all.at(b)
	if x.at != y.at {
		return x.at < y.at
	}
	return x.seq < y.seq
}

// fix moves the timer at index pos to its place in the heap.
func (h *timers) fix(pos int32) {
	i := h.heap[pos]
	for pos > 0 {
		parent := (pos - 1) / 2
		if !h.less(i, h.heap[parent]) {
			break
		}
		h.put(pos, h.heap[parent])
		pos = parent
	}
	for {
		child := 2*pos + 1
		if child >= int32(len(h.heap)) {
			break
		}
		if r := child + 1; r < int32(len(h.heap)) && h.less(h.heap[r], h.heap[child]) {
			child = r
		}
		if !h.less(h.heap[child], i) {
			break
		}
		h.put(pos, h.heap[child])
		pos = child
	}
	h.put(pos, i)
}
