package gateway

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"
)

// The bounds on what an instance reads from outside. docs/OPERATIONS.md lists them
// together with those of other packages. What exceeds a bound ends the exchange at once.
const (
	// maxReplyHeadBytes bounds the head of a target's answer, together with the
	// informational answers (1xx) before it.
	maxReplyHeadBytes = 64 << 10
	// maxInformational bounds the informational answers before an answer, as net/http's
	// client does.
	maxInformational = 5
	// maxReplyBytes bounds the body of a target's answer, maxPartBytes that of a part of a
	// gathered answer, of which only the greatest records are used.
	maxReplyBytes = 16 << 20
	maxPartBytes  = 1 << 20
	// maxCallerHeadBytes bounds the head of a caller's request that net/http reads, before
	// the published limit is checked. It is the default of net/http.
	maxCallerHeadBytes = http.DefaultMaxHeaderBytes
	// callerHeadTimeout bounds the time for the head of a caller's request, and
	// callerBodyTimeout that for its body. They exceed the published bound of a few seconds,
	// which may change while the server runs, whereas the bound of net/http can't.
	callerHeadTimeout = 30 * time.Second
	callerBodyTimeout = 30 * time.Second
	// maxPeerMessageBytes bounds a message between instances. It is several times the size
	// of the store's content: a configuration of 1 MB and entries of 300 bytes for 2,300
	// targets.
	maxPeerMessageBytes = 16 << 20
	// maxForwardedAttempts bounds the attempts of one batch that this instance forwards. It
	// is above the number of shards of any index of the target size.
	maxForwardedAttempts = 1 << 10
	// maxStateMessageBytes bounds a state message between instances. A message of this size
	// fits into one packet; a longer one is refused.
	maxStateMessageBytes = 1400
	// bodyBudgetShare is the share of the setting memory_mb that the bodies of all requests
	// and answers in progress may take together, and defaultBodyBudget that bound without
	// the setting, in bytes.
	bodyBudgetShare   = 0.25
	defaultBodyBudget = 64 << 20
)

// A bound names what a boundError is about. The names are labels of gateway_over_bound.
type bound string

const (
	boundHead          bound = "head"
	boundInformational bound = "informational"
	boundBody          bound = "body"
	boundMemory        bound = "memory"
)

// boundError is the error of a read that was ended because it exceeded a bound.
type boundError struct {
	bound bound
	limit int64 // bytes; for boundInformational, the number of answers
}

// Error implements error.
func (e *boundError) Error() string {
	switch e.bound {
	case boundHead:
		return fmt.Sprintf("the head of the answer is over the limit of %d bytes", e.limit)
	case boundInformational:
		return fmt.Sprintf("there are more than %d informational answers", e.limit)
	case boundMemory:
		return fmt.Sprintf("the bodies in progress are over the limit of %d bytes together", e.limit)
	default:
		return fmt.Sprintf("the body is over the limit of %d bytes", e.limit)
	}
}

// limitedReader returns a boundError once more than left bytes have been read.
type limitedReader struct {
	r    io.Reader
	left int64
}

// unlimited is the value of limitedReader.left for reads that are bounded elsewhere.
const unlimited = math.MaxInt64

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, &boundError{boundHead, maxReplyHeadBytes}
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// bodyBudget bounds the memory for the bodies of all requests and answers in progress. A
// read that would exceed it ends the largest read in progress, which may be itself.
type bodyBudget struct {
	limit int64

	mu    sync.Mutex // guards the fields below and those of all holds
	used  int64
	reads map[*bodyHold]struct{} // reads in progress
}

func newBodyBudget(memoryMB int) *bodyBudget {
	limit := int64(defaultBodyBudget)
	if memoryMB > 0 {
		limit = int64(bodyBudgetShare * float64(memoryMB) * (1 << 20))
	}
	return &bodyBudget{limit: limit, reads: make(map[*bodyHold]struct{})}
}

// bodyHold is the memory that a body takes, from the start of its reading until release.
type bodyHold struct {
	budget *bodyBudget
	abort  func() // makes the read fail soon
	// The budget's mutex guards these fields.
	bytes   int64
	aborted bool
}

// hold returns a hold for a read in progress. abort must not block or take a hold.
func (b *bodyBudget) hold(abort func()) *bodyHold {
	h := &bodyHold{budget: b, abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads[h] = struct{}{}
	return h
}

// grow takes n more bytes. If they exceed the budget, the largest reads in progress are
// ended until the bytes fit or the read itself is the largest. Then, and after another read
// ended this one, the error is a boundError.
func (h *bodyHold) grow(n int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !h.aborted && b.used+n > b.limit {
		largest := h
		for other := range b.reads {
			if other.bytes > largest.bytes+n {
				largest = other
			}
		}
		largest.end()
		if largest != h {
			largest.abort()
		}
	}
	if h.aborted {
		return &boundError{boundMemory, b.limit}
	}
	b.used += n
	h.bytes += n
	return nil
}

// end marks a read as ended early and gives its bytes back. The caller holds the mutex.
func (h *bodyHold) end() {
	h.aborted = true
	h.budget.used -= h.bytes
	h.bytes = 0
	delete(h.budget.reads, h)
}

func (h *bodyHold) wasAborted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.aborted
}

// finish marks the read as complete. Its bytes stay taken until release.
func (h *bodyHold) finish() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.reads, h)
	if h.aborted {
		return &boundError{boundMemory, h.budget.limit}
	}
	return nil
}

// release gives all bytes back. It may be called more than once.
func (h *bodyHold) release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.reads, h)
	h.budget.used -= h.bytes
	h.bytes = 0
}

// firstBodyBuffer is the size of the first buffer for a body, in bytes. A longer announced
// length is not allocated before its bytes arrive.
const firstBodyBuffer = 4 << 10

// readBody reads a body of at most limit bytes. size is the announced length, or -1. The
// bytes stay in the hold.
func readBody(r io.Reader, size, limit int64, hold *bodyHold) ([]byte, error) {
	if size > limit {
		return nil, &boundError{boundBody, limit}
	}
	if size == 0 {
		return nil, hold.finish()
	}
	first := int64(firstBodyBuffer)
	if size > 0 {
		first = min(size+1, first) // one byte more, to see the end without growing
	}
	if err := hold.grow(first); err != nil {
		return nil, err
	}
	body := make([]byte, 0, first)
	for {
		if len(body) == cap(body) {
			if err := hold.grow(int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, &boundError{boundBody, limit}
		case errors.Is(err, io.EOF):
			return body, hold.finish()
		case err != nil && hold.wasAborted():
			return nil, &boundError{boundMemory, hold.budget.limit}
		case err != nil:
			return nil, err
		}
	}
}
