package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// acceptGap is how long no connection may arrive before stopAccepting closes the socket,
	// and maxAcceptDrain bounds how long it waits for such a gap.
	acceptGap      = 5 * time.Millisecond
	maxAcceptDrain = 200 * time.Millisecond
)

// drainingListener is a TCP listener that can stop accepting while its server goes on. It
// first returns the connections that the system has already established: closing the socket
// resets them, together with the requests that their callers have sent.
type drainingListener struct {
	*net.TCPListener
	mu       sync.Mutex // guards drainEnd
	drainEnd time.Time  // zero before stopAccepting
	drained  chan struct{}
	closed   chan struct{}
	close    func() error // closes the socket and closed
}

func newDrainingListener(l *net.TCPListener) *drainingListener {
	d := &drainingListener{TCPListener: l, drained: make(chan struct{}), closed: make(chan struct{})}
	d.close = sync.OnceValue(func() error {
		close(d.closed)
		return l.Close()
	})
	return d
}

// stopAccepting closes the socket once no connection is waiting, and returns then. Accept
// blocks from then on until Close.
func (l *drainingListener) stopAccepting() {
	l.mu.Lock()
	l.drainEnd = time.Now().Add(maxAcceptDrain)
	l.mu.Unlock()
	_ = l.SetDeadline(time.Now()) // interrupts Accept; fails only on a closed socket
	select {
	case <-l.drained:
	case <-l.closed:
	}
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	l.mu.Lock()
	end := l.drainEnd
	l.mu.Unlock()
	if err == nil || end.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	// A deadline that has passed fails Accept even if connections are waiting, so only an
	// Accept that began before its deadline shows that none is.
	if wait := time.Until(end); wait > 0 {
		_ = l.SetDeadline(time.Now().Add(min(acceptGap, wait)))
		conn, err = l.TCPListener.Accept()
		_ = l.SetDeadline(time.Now())
		if err == nil {
			return conn, nil
		}
	}
	_ = l.TCPListener.Close()
	close(l.drained)
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *drainingListener) Close() error { return l.close() }
