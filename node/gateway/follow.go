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
	since := gateway.StorePosition{Era: in.GetEra(), Revision: in.GetRevision()}
	heartbeat := time.NewTicker(followHeartbeat)
	defer heartbeat.Stop()
	sent := &sentChange{budget: s.memory, stream: stream}
	defer sent.release()
	for {
		change, changed := s.store.Changes(since)
		if err := sent.send(change); err != nil {
			return err
		}
		if in.GetOnce() {
			if sent.hold == nil {
				return nil
			}
			// Returns once the follower has accepted the change or has left.
			return sent.send(gateway.StoreChange{Era: change.Era, Revision: change.Revision, Lost: change.Lost, Age: change.Age})
		}
		if since.Before(change.Position()) {
			since = change.Position()
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
// follower has accepted it, and delays the next Send until then.
type sentChange struct {
	budget *memory.Budget
	stream grpc.ServerStreamingServer[gatewaypb.Change]
	hold   *memory.Hold // the memory of a change over minHeldChange, nil if there is none
}

const (
	// minHeldChange is the size from which a change is taken from the budget. It is below what
	// gRPC sends without waiting for the follower.
	minHeldChange = 32 << 10
	// messageBufferBytes is the size of the buffers that gRPC takes for messages of that size.
	messageBufferBytes = 1 << 20
)

// send sends a change. Its memory is taken until the next one has been sent.
func (c *sentChange) send(change gateway.StoreChange) error {
	var hold *memory.Hold
	if size := changeBytes(change); size >= minHeldChange {
		hold = c.budget.Hold(func() { peer.CloseConnection(c.stream.Context()) })
		if err := hold.Grow(max(size, messageBufferBytes)); err != nil {
			hold.Release()
			return errNoMemory
		}
	}
	err := c.stream.Send(encodeChange(change))
	c.release()
	c.hold = hold
	return err
}

func (c *sentChange) release() {
	if c.hold != nil {
		c.hold.Release()
	}
}

// changeBytes returns the approximate size of a change as a message.
func changeBytes(change gateway.StoreChange) int64 {
	const itemBytes = 32
	size := 0
	for _, i := range change.Items {
		size += itemBytes + len(i.Key) + len(i.Value)
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
