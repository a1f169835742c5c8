package fleet

import "time"

// timerKind says which system a timer belongs to.
type timerKind uint8

const (
	timerExchange timerKind = iota
	timerPing
	timerSuspicion
	timerIndirectPing
	timerRead
	timerFetch
	timerConfirm
	timerCheck // of readiness and the return gate, at the end of the tick
	timerHandover
	timerProbe
	timerBalancerDelay
	timerStopTimeout
)

// timer is one entry of the heap. An entry is not removed when its cause ends:
// the system checks on expiry whether the deadline still stands.
type timer struct {
	at        time.Duration // on Boot
	seq       uint64        // order of creation, for equal times
	kind      timerKind
	member    *member
	target    *target
	pingRound uint64 // round of a ping on behalf of another instance
}

// timerHeap is a binary min-heap by time and order of creation.
type timerHeap struct {
	entries []timer
	seq     uint64
}

func (h *timerHeap) less(i, j int) bool {
	a, b := &h.entries[i], &h.entries[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

func (h *timerHeap) push(t timer) {
	h.seq++
	t.seq = h.seq
	h.entries = append(h.entries, t)
	for i := len(h.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.entries[i], h.entries[parent] = h.entries[parent], h.entries[i]
		i = parent
	}
}

// popDue removes and returns the first timer if it is due.
func (h *timerHeap) popDue(now time.Duration) (timer, bool) {
	if len(h.entries) == 0 || h.entries[0].at > now {
		return timer{}, false
	}
	first := h.entries[0]
	last := len(h.entries) - 1
	h.entries[0] = h.entries[last]
	h.entries[last] = timer{}
	h.entries = h.entries[:last]
	h.siftDown()
	return first, true
}

func (h *timerHeap) siftDown() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(h.entries) {
			return
		}
		if child+1 < len(h.entries) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.entries[i], h.entries[child] = h.entries[child], h.entries[i]
		i = child
	}
}

func (f *Fleet) startTimer(d time.Duration, t timer) time.Duration {
	t.at = f.now + d
	f.timers.push(t)
	return t.at
}
