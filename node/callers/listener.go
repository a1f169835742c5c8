package callers

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptGap is how long no connection may arrive before stopAccepting closes the socket,
	// and maxAcceptDrain bounds how long it waits for such a gap.
	acceptGap      = 5 * time.Millisecond
	maxAcceptDrain = time.Second
)

// TCPListener is the part of *net.TCPListener that DrainingListener uses.
type TCPListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// DrainingListener is a TCP listener that can stop accepting while its server goes on. It
// first returns the connections that the system has already established: closing the socket
// resets them, together with the requests that their callers have sent.
type DrainingListener struct {
	TCPListener
	mu       sync.Mutex // guards drainEnd
	drainEnd time.Time  // zero before stopAccepting
	drained  chan struct{}
	closed   chan struct{}
	close    func() error // closes the socket and closed
}

// NewDrainingListener returns a listener that accepts from l.
func NewDrainingListener(l TCPListener) *DrainingListener {
	d := &DrainingListener{TCPListener: l, drained: make(chan struct{}), closed: make(chan struct{})}
	d.close = sync.OnceValue(func() error {
		close(d.closed)
		return l.Close()
	})
	return d
}

// stopAccepting closes the socket once no connection is waiting, and returns then. Accept
// blocks from then on until Close.
func (l *DrainingListener) stopAccepting() {
	l.mu.Lock()
	l.drainEnd = time.Now().Add(maxAcceptDrain)
	l.mu.Unlock()
	_ = l.SetDeadline(time.Now()) // interrupts Accept; fails only on a closed socket
	select {
	case <-l.drained:
	case <-l.closed:
	}
}

// Drained returns a channel that is closed once a drain has closed the socket.
func (l *DrainingListener) Drained() <-chan struct{} { return l.drained }

// Accept implements net.Listener.
func (l *DrainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	l.mu.Lock()
	end := l.drainEnd
	l.mu.Unlock()
	if err == nil || end.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	for wait := acceptGap; ; wait = time.Until(end) {
		_ = l.SetDeadline(time.Now().Add(wait))
		conn, err = l.TCPListener.Accept()
		_ = l.SetDeadline(time.Now())
		if err == nil {
			return conn, nil
		}
		// Accept fails after its deadline even if connections are waiting.
		if !l.isConnectionWaiting() || time.Now().After(end) {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptGap) // as without a free file descriptor
		}
	}
	_ = l.TCPListener.Close()
	close(l.drained)
	<-l.closed
	return nil, net.ErrClosed
}

// isConnectionWaiting reports whether Accept would return a connection at once.
func (l *DrainingListener) isConnectionWaiting() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

// Close implements net.Listener.
func (l *DrainingListener) Close() error { return l.close() }
