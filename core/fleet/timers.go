package fleet

import "time"

// timerKind says which part of the control plane a timer belongs to.
type timerKind uint8

const (
	timerExchange timerKind = iota
	timerPing
	timerSuspicion
	timerIndirectPing
	timerRead
	timerFetch
	timerConfirm
	timerCheck // only causes a tick, at whose end readiness and the return gate are updated
	timerHandover
	timerProbe
	timerBalancerDelay
	timerStopTimeout
)

// timer is an entry of the heap. Timers are not cancelled: the handler checks on
// expiry whether the deadline still applies.
type timer struct {
	at        time.Duration // expiry on the Boot clock
	seq       uint64        // order of creation, decides between equal times
	kind      timerKind
	member    *member
	target    *target
	pingRound uint64 // ownRound of an indirectPing
}

// timerHeap is a binary min-heap ordered by expiry, then by order of creation.
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

// popDue removes and returns the first timer if it is due at the given time.
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

// startTimer sets a timer that expires after d, and returns its expiry on the
// Boot clock.
func (f *Fleet) startTimer(d time.Duration, t timer) time.Duration {
	t.at = f.now + d
	f.timers.push(t)
	return t.at
}
