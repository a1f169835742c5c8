package callers

import (
	"syscall"
	"time"

	"galenadyke.dev/node/memory"
)

// Limits bound what the callers of a server can take. The zero value sets no bounds.
type Limits struct {
	// MaxConnections bounds the open connections.
	MaxConnections int
	// MaxHeadBytes returns the bound on the head of a request in bytes.
	MaxHeadBytes func() int
	// Memory bounds the memory of the heads of all requests in progress.
	Memory *memory.Budget
	// WriteTimeout bounds the time that a caller may take to accept a write.
	WriteTimeout time.Duration
	// OnRefused is called with the cause of each connection that is ended by a limit.
	OnRefused func(Refusal)
}

// Refusal is the cause for which a limit ends a connection. It is a label of metrics.
type Refusal string

// The causes of refusals.
const (
	RefusedHead        Refusal = "head_too_large"
	RefusedMemory      Refusal = "no_memory"
	RefusedConnections Refusal = "too_many_connections"
)

func (l *Limits) refused(cause Refusal) {
	if l.OnRefused != nil {
		l.OnRefused(cause)
	}
}

// MaxConnections returns the bound on the connections to an address: limit, or less if these
// would take more than a share of the descriptors of the process.
func MaxConnections(limit int, descriptorShare float64) int {
	return max(1, min(limit, int(descriptorShare*float64(descriptorLimit()))))
}

// descriptorLimit returns the number of descriptors that the process may have open.
func descriptorLimit() int {
	const unknown = 1024 // the limit that POSIX systems commonly have
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return unknown
	}
	return int(min(limit.Cur, 1<<30))
}

// ConnectionBytes is the memory of a connection with its buffers, its goroutines and a head of
// up to freeHeadBytes.
const ConnectionBytes = 32 << 10
