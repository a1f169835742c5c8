package gateway

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"galenadyke.dev/node/callers"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/settings"
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
	// callerWriteTimeout bounds the time that a caller takes to accept an answer, and
	// refusedBodyTime that for the rest of a body after a refusal.
	callerWriteTimeout = 30 * time.Second
	refusedBodyTime    = time.Second
	// callerDescriptorShare and callerMemoryShare are the shares of the descriptors of the
	// process and of the setting memory_mb that the connections of callers may take.
	callerDescriptorShare = 0.5
	callerMemoryShare     = 0.25
	// controlConnections bounds the connections to each address of the balancer and of
	// operators, and controlDescriptorShare is the share of the descriptors that they may take.
	controlConnections     = 64
	controlDescriptorShare = 1.0 / 32
	// peerConnections bounds the connections of other instances, and peerDescriptorShare is the
	// share of the descriptors that they may take.
	peerConnections     = 640
	peerDescriptorShare = 0.2
	// maxControlHeadBytes bounds the head of a request to these addresses, controlTimeout the
	// time for a request and for an answer, and controlIdleTimeout that between two requests.
	maxControlHeadBytes = 16 << 10
	controlTimeout      = 10 * time.Second
	controlIdleTimeout  = 2 * time.Minute
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
	// bodyMemoryShare is the share of the setting memory_mb that the heads and bodies of all
	// requests and answers in progress may take together, peerMemoryShare that of the calls of
	// other instances, and changeMemoryShare that of the changes of the store that are being
	// sent to them. Without the setting they are shares of defaultMemoryMB.
	bodyMemoryShare   = 0.25
	peerMemoryShare   = 0.125
	changeMemoryShare = 0.0625
	defaultMemoryMB   = 256
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

// maxCallerConnections returns the number of connections that callers may have open.
func maxCallerConnections(s settings.Gateway) int {
	n := callers.MaxConnections(s.MaxConnections, callerDescriptorShare)
	if s.MemoryMB > 0 {
		n = min(n, int(callerMemoryShare*float64(s.MemoryMB)*(1<<20))/callers.ConnectionBytes)
	}
	return max(1, n)
}

// maxControlConnections returns the number of connections that an address of the balancer or of
// operators may have open.
func maxControlConnections() int {
	return callers.MaxConnections(controlConnections, controlDescriptorShare)
}

// maxPeerConnections returns the number of connections that other instances may have open.
func maxPeerConnections() int { return callers.MaxConnections(peerConnections, peerDescriptorShare) }

// newBudget returns a budget of a share of the setting memory_mb.
func newBudget(memoryMB int, share float64) *memory.Budget {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	return memory.NewBudget(int64(share * float64(memoryMB) * (1 << 20)))
}

// readBody reads a body of at most limit bytes, as memory.ReadAll does. The error of a body that
// exceeds a bound is a boundError.
func readBody(r io.Reader, size, limit int64, hold *memory.Hold) ([]byte, error) {
	body, err := memory.ReadAll(r, size, limit, hold)
	var exceeded *memory.ExceededError
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return nil, &boundError{boundBody, limit}
	case errors.As(err, &exceeded):
		return nil, &boundError{boundMemory, exceeded.Limit}
	}
	return body, err
}
