package callers

import (
	"context"
	"time"
)

// drainCheckInterval is the time between two checks for connections in use during a stop.
const drainCheckInterval = 10 * time.Millisecond

// DrainReport tells how long a drain took in all, and until no connection was waiting to be
// accepted.
type DrainReport struct{ Took, AcceptQueue time.Duration }

// Drain stops accepting callers, closes idle connections, and waits until all requests in
// progress have been answered or ctx ends. The handlers of further requests have to announce
// the close of the connection in their answers. The graceful shutdown of net/http is not used
// for this, as it drops requests that it reads after it has begun.
func (l Listener) Drain(ctx context.Context) DrainReport {
	started := time.Now()
	l.stopAccepting()
	report := DrainReport{AcceptQueue: time.Since(started)}
	l.Connections.closeIdle()
	l.Connections.AwaitUnused(ctx)
	report.Took = time.Since(started)
	return report
}

// AwaitUnused waits until no connection is in use or ctx ends.
func (cc *Connections) AwaitUnused(ctx context.Context) {
	check := time.NewTicker(drainCheckInterval)
	defer check.Stop()
	for cc.inUse() && ctx.Err() == nil {
		select {
		case <-check.C:
			cc.closeUnused()
		case <-ctx.Done():
		}
	}
}
