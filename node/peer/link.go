package peer

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"galenadyke.dev/core/model"
	"galenadyke.dev/node/peer/peerpb"
)

const (
	// maxQueueFrames and maxQueueBytes bound the queue of messages to one peer. At
	// 120,000 queries/s over 510 instances a peer gets about 1,000 frames in 50 ms.
	maxQueueFrames = 1024
	maxQueueBytes  = 8 << 20
	// openTimeout bounds the opening of a stream, including the connect. Frames
	// that wait longer are of no use to a query.
	openTimeout = time.Second
	// idleTimeout is the time without messages after which a link is closed. With
	// 510 peers, a state exchange reaches each peer once in 102 s.
	idleTimeout = 4 * time.Minute
	// flushTimeout bounds the wait for the receiver to read the remaining frames
	// when a link is closed.
	flushTimeout = time.Second
)

var (
	errOverflow     = errors.New("queue to the instance is full")
	errClosed       = errors.New("link closed")
	errIdle         = errors.New("link idle")
	errFlushTimeout = errors.New("instance did not read all frames within the flush timeout")
)

// queuedMessage is a message that waits to be sent.
type queuedMessage struct {
	message  model.PeerMessage
	queuedAt time.Duration // as returned by Config.BootTime
	bytes    int64         // as estimated by messageSize
}

// link sends messages to one peer. push must not be called concurrently. The
// goroutine of run owns the stream.
type link struct {
	links       *Links
	peer        model.InstanceID
	address     string
	queue       chan queuedMessage
	queuedBytes atomic.Int64 // total size of the queued messages
	// lossPending is set when push drops a message, and cleared when reportDown
	// reports the loss.
	lossPending atomic.Bool
	// overflow wakes run to break the stream and drop the queue.
	overflow chan struct{}
	// closing is closed to make run send the queue and end.
	closing chan struct{}
}

func newLink(links *Links, peer model.InstanceID, address string) *link {
	return &link{
		links: links, peer: peer, address: address,
		queue:    make(chan queuedMessage, maxQueueFrames),
		overflow: make(chan struct{}, 1),
		closing:  make(chan struct{}),
	}
}

// push queues a message without blocking. If the queue is full, it drops the
// message and signals overflow.
func (l *link) push(q queuedMessage) {
	if l.queuedBytes.Add(q.bytes) <= maxQueueBytes {
		select {
		case l.queue <- q:
			return
		default:
		}
	}
	l.queuedBytes.Add(-q.bytes)
	l.lossPending.Store(true)
	select {
	case l.overflow <- struct{}{}:
	default:
	}
}

// run sends queued messages until the link is closed or idle.
func (l *link) run() {
	client, err := Dial(l.address)
	if err != nil {
		l.links.removeFailed(l)
		l.reportDown("dial", err)
		return
	}
	defer client.Close()
	idleTimer := time.NewTimer(idleTimeout)
	defer idleTimer.Stop()
	for {
		var first queuedMessage
		select {
		case first = <-l.queue:
		case <-l.overflow:
			if l.lossPending.Load() {
				l.reportDown("queue", errOverflow)
			}
			continue
		case <-idleTimer.C:
			if l.links.removeIdle(l) {
				return
			}
			idleTimer.Reset(idleTimeout)
			continue
		case <-l.closing:
			select {
			case first = <-l.queue:
			default:
				return
			}
		}
		err := l.runStream(client, first, idleTimer)
		switch {
		case errors.Is(err, errClosed):
			return
		case errors.Is(err, errIdle) && !l.lossPending.Load():
		default:
			l.reportDown("stream", err)
		}
		idleTimer.Reset(idleTimeout)
	}
}

// runStream opens a stream and sends first, then the queued messages. It returns
// errClosed or errIdle after an orderly end, when the receiver has read all
// frames, and any other error if the stream broke.
func (l *link) runStream(client *grpc.ClientConn, first queuedMessage, idleTimer *time.Timer) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(errClosed)
	stream, err := l.open(ctx, cancel, client)
	if err != nil {
		l.queuedBytes.Add(-first.bytes)
		return err
	}
	ended := make(chan error, 1)
	go func() {
		// The server sends no message before the stream ends.
		err := stream.RecvMsg(new(peerpb.LinkEnd))
		if err == nil {
			err = io.EOF
		}
		ended <- err
	}()
	// Send can block on a slow receiver. An overflow must interrupt it.
	streamDone := make(chan struct{})
	defer close(streamDone)
	go func() {
		for !l.lossPending.Load() {
			select {
			case <-l.overflow: // may be stale, from a loss already reported
			case <-streamDone:
				return
			}
		}
		cancel(errOverflow)
	}()
	next := first
	for {
		if err := l.send(stream, next); err != nil {
			return cancelCause(ctx, err)
		}
		idleTimer.Reset(idleTimeout)
		select {
		case next = <-l.queue:
		case err := <-ended:
			return cancelCause(ctx, err)
		case <-l.closing:
			return l.flush(stream, ended)
		case <-idleTimer.C:
			if err := stream.CloseSend(); err != nil {
				return err
			}
			if err := <-ended; !errors.Is(err, io.EOF) {
				return err
			}
			return errIdle
		}
	}
}

// open opens a stream and waits for the receiver's response headers. From then on
// gRPC has committed the stream and cannot send a frame a second time.
func (l *link) open(ctx context.Context, cancel context.CancelCauseFunc, client *grpc.ClientConn) (grpc.ClientStreamingClient[peerpb.Frame, peerpb.LinkEnd], error) {
	timer := time.AfterFunc(openTimeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	stream, err := peerpb.NewPeerClient(client).Link(ctx)
	if err != nil {
		return nil, cancelCause(ctx, err)
	}
	hello := &peerpb.Frame{Message: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Instance: string(l.links.cfg.Self),
		Incarnation: uint64(l.links.cfg.Incarnation), Receiver: string(l.peer)}}}
	if err := stream.Send(hello); err != nil && !errors.Is(err, io.EOF) {
		return nil, cancelCause(ctx, err)
	}
	header, err := stream.Header()
	if err == nil && header == nil {
		err = stream.RecvMsg(new(peerpb.LinkEnd)) // Header returns no error here; RecvMsg does
		if err == nil {
			err = io.EOF
		}
	}
	if err != nil {
		return nil, cancelCause(ctx, err)
	}
	if !timer.Stop() {
		return nil, context.DeadlineExceeded
	}
	return stream, nil
}

// send writes one frame to the stream. A message that cannot be encoded is a bug
// in this release. Its error breaks the stream, so that the loss is reported.
func (l *link) send(stream grpc.ClientStreamingClient[peerpb.Frame, peerpb.LinkEnd], q queuedMessage) error {
	l.queuedBytes.Add(-q.bytes)
	frame, err := Encode(deductQueueTime(q.message, l.links.cfg.BootTime()-q.queuedAt))
	if err != nil {
		return err
	}
	if err := stream.Send(frame); err != nil {
		return err
	}
	l.links.cfg.Metrics.FrameSent()
	return nil
}

// flush sends the queued messages and closes the stream. It then waits up to
// flushTimeout until the receiver has read all frames. It returns errClosed on
// success.
func (l *link) flush(stream grpc.ClientStreamingClient[peerpb.Frame, peerpb.LinkEnd], ended <-chan error) error {
	for empty := false; !empty; {
		select {
		case q := <-l.queue:
			if err := l.send(stream, q); err != nil {
				return err
			}
		default:
			empty = true
		}
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	select {
	case err := <-ended:
		if errors.Is(err, io.EOF) {
			return errClosed
		}
		return err
	case <-time.After(flushTimeout):
		return errFlushTimeout
	}
}

// reportDown drops the queued messages and reports PeerDown. The core counts the dropped
// messages as sent, so it has to learn that they may be lost.
func (l *link) reportDown(during string, err error) {
	l.lossPending.Store(false)
	for empty := false; !empty; {
		select {
		case q := <-l.queue:
			l.queuedBytes.Add(-q.bytes)
		default:
			empty = true
		}
	}
	l.links.cfg.Metrics.StreamBroken()
	l.links.cfg.Log.LinkBroken(l.peer, during, err)
	l.links.cfg.Submit(model.PeerDown{Peer: l.peer})
}

// cancelCause returns the cause of the cancellation of ctx, or err if ctx was not
// cancelled.
func cancelCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// deductQueueTime subtracts the time that a message has waited in the queue from
// its budget. A budget states the time left when the frame is written.
func deductQueueTime(message model.PeerMessage, waited time.Duration) model.PeerMessage {
	switch m := message.(type) {
	case model.RelayRequest:
		m.Budget = max(0, m.Budget-waited)
		return m
	case model.BookForward:
		m.Budget = max(0, m.Budget-waited)
		return m
	default:
		return message
	}
}
