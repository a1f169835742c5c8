package gateway

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/gateway/gatewaypb"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/peer"
)

const (
	// followHeartbeat is the interval at which a stream carries a message even if nothing
	// has changed, and the delay before a failed stream is opened again.
	followHeartbeat = 500 * time.Millisecond
	// followTimeout is how long a follower waits for the next message of a stream.
	followTimeout = 1500 * time.Millisecond
	// maxSourceAge is the age of the store's last answer above which a follower abandons
	// the instance that it follows. The store answers an instance that watches it at least
	// every 1.5 s. Among instances that follow each other in a circle, the age grows
	// without bound.
	maxSourceAge = 4 * time.Second
	// fetchTimeout bounds a fetch of the store's content from another instance,
	// including the connect.
	fetchTimeout = time.Second
)

// Follow implements gatewaypb.GatewayServer. It streams the store's changes since the given
// revision, or sends a single message if the follower asks for one. Each message is also a
// heartbeat.
func (s *peerServer) Follow(in *gatewaypb.FollowRequest, stream grpc.ServerStreamingServer[gatewaypb.Change]) error {
	hold, err := s.takeCall(0)
	if err != nil {
		return err
	}
	defer hold.Release()
	since := gateway.StorePosition{Era: in.GetEra(), Revision: in.GetRevision()}
	heartbeat := time.NewTicker(followHeartbeat)
	defer heartbeat.Stop()
	sent := &sentChange{budget: s.changes, stream: stream}
	defer sent.release()
	for {
		change, changed := s.store.Changes(since)
		if err := sent.send(change); err != nil {
			return err
		}
		if in.GetOnce() {
			return sent.awaitAccepted()
		}
		if since.Before(change.Position()) {
			since = change.Position()
		}
		if err := sent.awaitAccepted(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-s.stopping:
			return status.Error(codes.Unavailable, "the instance stops")
		case <-stream.Context().Done():
			return context.Cause(stream.Context())
		}
	}
}

// sentChange is the latest change on a stream. gRPC keeps a message after Send until the
// follower has accepted it.
type sentChange struct {
	budget *memory.Budget
	stream grpc.ServerStreamingServer[gatewaypb.Change]
	hold   *memory.Hold // the memory of a change over minHeldChange, nil if there is none
	// acceptedAt is the number of bytes on the connection at which the change has been written,
	// sentAt the time of Send.
	acceptedAt int64
	sentAt     time.Time
}

const (
	// minHeldChange is the size from which a change is taken from the budget.
	minHeldChange = 32 << 10
	// messageBufferBytes is the size of the buffers that gRPC takes for messages of that size.
	messageBufferBytes = 1 << 20
	// acceptCheckInterval is the time between two checks whether a change has been accepted, or
	// whether there is memory for one. maxChangeWait bounds the wait for memory.
	acceptCheckInterval = 5 * time.Millisecond
	maxChangeWait       = 500 * time.Millisecond
	// stalledChangeAfter is how long a change may take to be written before it is ended if its
	// memory is needed.
	stalledChangeAfter = time.Second
)

// send sends a change. Its memory is taken until awaitAccepted or release.
func (c *sentChange) send(change gateway.StoreChange) error {
	if size := changeBytes(change); size >= minHeldChange {
		if err := c.take(max(size, messageBufferBytes)); err != nil {
			return err
		}
		c.acceptedAt, c.sentAt = peer.Written(c.stream.Context())+size, time.Now()
	}
	return c.stream.Send(encodeChange(change))
}

// take takes memory from the budget. Many followers may need the same change at the same time,
// so it waits for memory.
func (c *sentChange) take(bytes int64) error {
	for start := time.Now(); ; {
		if hold, err := c.budget.Take(bytes); err == nil {
			c.hold = hold
			return nil
		}
		if time.Since(start) > maxChangeWait {
			return errNoMemory
		}
		if err := c.pause(); err != nil {
			return err
		}
	}
}

// pause waits for acceptCheckInterval or the end of the stream.
func (c *sentChange) pause() error {
	select {
	case <-time.After(acceptCheckInterval):
		return nil
	case <-c.stream.Context().Done():
		return context.Cause(c.stream.Context())
	}
}

// awaitAccepted waits until the change has been written, and gives its memory back.
func (c *sentChange) awaitAccepted() error {
	for resumed := false; c.hold != nil && peer.Written(c.stream.Context()) < c.acceptedAt; {
		if err := c.pause(); err != nil {
			return err
		}
		if !resumed && time.Since(c.sentAt) > stalledChangeAfter {
			resumed = true
			c.hold.Resume(func() { peer.CloseConnection(c.stream.Context()) })
		}
	}
	c.release()
	return nil
}

func (c *sentChange) release() {
	if c.hold != nil {
		c.hold.Release()
		c.hold = nil
	}
}

// changeBytes returns the size of the items of a change. The message is not shorter.
func changeBytes(change gateway.StoreChange) int64 {
	size := 0
	for _, i := range change.Items {
		size += len(i.Key) + len(i.Value)
	}
	return int64(size)
}

func encodeChange(change gateway.StoreChange) *gatewaypb.Change {
	out := &gatewaypb.Change{Era: change.Era, Revision: change.Revision, Complete: change.Complete, Lost: change.Lost, AgeNs: int64(change.Age)}
	for _, i := range change.Items {
		out.Items = append(out.Items, &gatewaypb.Item{Key: i.Key, Value: i.Value, Revision: i.Rev, Deleted: i.Deleted})
	}
	return out
}

func decodeChange(in *gatewaypb.Change) gateway.StoreChange {
	out := gateway.StoreChange{Era: in.GetEra(), Revision: in.GetRevision(), Complete: in.GetComplete(), Lost: in.GetLost(), Age: time.Duration(in.GetAgeNs())}
	for _, i := range in.GetItems() {
		out.Items = append(out.Items, gateway.StoreItem{Key: i.GetKey(), Value: i.GetValue(), Rev: i.GetRevision(), Deleted: i.GetDeleted()})
	}
	return out
}

// followStore sets where the store's changes come from: the store itself, or another
// instance.
func (d *Daemon) followStore(out gateway.FollowStore) {
	if d.stopFollowing != nil {
		d.stopFollowing()
		d.stopFollowing = nil
	}
	d.store.Watch(out.Watch)
	if out.From != "" {
		ctx, cancel := context.WithCancel(d.ctx)
		d.stopFollowing = cancel
		go d.runFollower(ctx, out.From)
	}
}

// errSourceSilent is the error of a stream that sent nothing within followTimeout.
var errSourceSilent = errors.New("the instance has fallen silent")

// errSourceStale is the error of a stream whose sender had no answer from the store within
// maxSourceAge.
var errSourceStale = errors.New("the instance has not heard of the store for long")

// runFollower imports changes from another instance until ctx ends. It reopens the stream
// after a failure.
func (d *Daemon) runFollower(ctx context.Context, from string) {
	for ctx.Err() == nil {
		err := d.followOnce(ctx, from)
		if ctx.Err() != nil {
			return
		}
		d.peerClients.drop(from)
		d.loop.Submit(gateway.SourceFailed{From: from, Cause: err.Error()})
		select {
		case <-time.After(followHeartbeat):
		case <-ctx.Done():
		}
	}
}

// followOnce imports changes until the stream fails, and returns the cause.
func (d *Daemon) followOnce(ctx context.Context, from string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(followTimeout, func() { cancel(errSourceSilent) })
	defer timeout.Stop()
	client, done, err := d.peerClients.get(from)
	if err != nil {
		return err
	}
	defer done()
	stream, err := client.Follow(ctx, followRequest(d.store.Position()))
	for err == nil {
		var change *gatewaypb.Change
		if change, err = stream.Recv(); err == nil {
			timeout.Reset(followTimeout)
			decoded := decodeChange(change)
			if !decoded.Lost && decoded.Age > maxSourceAge {
				return errSourceStale
			}
			d.store.SetSourceState(decoded.Lost, decoded.Age)
			d.store.Import(decoded)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func followRequest(since gateway.StorePosition) *gatewaypb.FollowRequest {
	return &gatewaypb.FollowRequest{Era: since.Era, Revision: since.Revision}
}

// fetchState imports the store's content from another instance once.
func (d *Daemon) fetchState(out gateway.FetchState) {
	ctx, cancel := context.WithTimeout(d.ctx, fetchTimeout)
	defer cancel()
	client, done, err := d.peerClients.get(out.From)
	if err == nil {
		defer done()
		in := &gatewaypb.FollowRequest{}
		if !out.Complete {
			in = followRequest(d.store.Position())
		}
		in.Once = true
		var stream grpc.ServerStreamingClient[gatewaypb.Change]
		if stream, err = client.Follow(ctx, in); err == nil {
			var change *gatewaypb.Change
			if change, err = stream.Recv(); err == nil {
				d.store.Import(decodeChange(change))
				return
			}
		}
	}
	d.log.ReadFailed("instance "+out.From, err)
}
