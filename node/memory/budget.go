// Package memory bounds the memory that requests and answers in progress take together.
package memory

import (
	"fmt"
	"sync"
)

// Budget bounds the memory of all transfers in progress. A transfer that would exceed it ends
// the largest transfer in progress, which may be itself. The memory of a transfer that was ended
// is in use until its Release; together with it, at most twice the limit is in use.
type Budget struct {
	limit int64

	mu sync.Mutex // guards the fields below and those of all holds
	// used is the sum of all holds, ending that of the holds that were ended.
	used, ending int64
	transfers    map[*Hold]struct{} // holds that may be ended
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, transfers: make(map[*Hold]struct{})}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are taken, those of transfers that were ended included.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// full reports whether n more bytes exceed the limit, even if the transfers that were ended are
// released in time.
func (b *Budget) full(n int64) bool { return b.used-b.ending+n > b.limit }

// ExceededError is the error of a transfer that was ended because the budget was used up.
type ExceededError struct{ Limit int64 } // bytes

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("the transfers in progress are over the limit of %d bytes together", e.Limit)
}

// Hold is the memory that a transfer takes, from its start until Release.
type Hold struct {
	budget *Budget
	// The budget's mutex guards these fields.
	abort   func() // makes the transfer fail soon
	bytes   int64
	aborted bool
}

// Hold returns a hold for a transfer in progress. abort must not block or use a hold.
func (b *Budget) Hold(abort func()) *Hold {
	h := &Hold{budget: b, abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.transfers[h] = struct{}{}
	return h
}

// Take returns a hold of n bytes that is not ended in favour of others. They stay taken until
// Release.
func (b *Budget) Take(n int64) (*Hold, error) {
	h := &Hold{budget: b}
	if err := h.Grow(n); err != nil {
		return nil, err
	}
	return h, nil
}

// Grow takes n more bytes. If they exceed the budget, the largest transfers in progress are
// ended until the bytes fit or this transfer is the largest. Then, while too many transfers that
// were ended have not been released, and after another transfer has ended this one, the error is
// an ExceededError.
func (h *Hold) Grow(n int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !h.aborted && b.full(n) {
		largest, size := h, h.bytes+n
		for other := range b.transfers {
			if other.bytes > size {
				largest, size = other, other.bytes
			}
		}
		largest.end()
		if largest != h {
			largest.abort()
		}
	}
	if !h.aborted && b.used+n > 2*b.limit {
		h.end()
	}
	if h.aborted {
		return &ExceededError{b.limit}
	}
	b.used += n
	h.bytes += n
	return nil
}

// end marks a transfer as ended early. The caller holds the mutex.
func (h *Hold) end() {
	h.aborted = true
	h.budget.ending += h.bytes
	delete(h.budget.transfers, h)
}

// Aborted reports whether the transfer was ended to make room for others.
func (h *Hold) Aborted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.aborted
}

// Finish marks the transfer as complete. Its bytes stay taken until Release. The error is an
// ExceededError if the transfer was ended before.
func (h *Hold) Finish() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.transfers, h)
	if h.aborted {
		return &ExceededError{h.budget.limit}
	}
	return nil
}

// Resume starts a further transfer of the bytes, which may be ended like the first one.
func (h *Hold) Resume(abort func()) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.aborted && h.bytes > 0 {
		h.abort = abort
		h.budget.transfers[h] = struct{}{}
	}
}

// Release gives all bytes back. It may be called more than once.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.transfers, h)
	if h.aborted {
		h.budget.ending -= h.bytes
	}
	h.budget.used -= h.bytes
	h.bytes = 0
}
