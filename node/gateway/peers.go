package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/gateway/gatewaypb"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/peer"
)

// peerWriteBufferBytes is the size of the write buffer of a connection between instances.
// It is small because an instance has up to 170 such connections in a fleet of the target
// size.
const peerWriteBufferBytes = 4 << 10

// peerClients holds the connections to other instances by address. Its methods may be
// called from any goroutine.
type peerClients struct {
	mu    sync.Mutex // guards conns and their fields; held for map operations only
	conns map[string]*peerConn
}

// peerConn is a connection to another instance, which several calls share.
type peerConn struct {
	*grpc.ClientConn
	calls   int
	dropped bool // the last call closes it
}

func newPeerClients() *peerClients { return &peerClients{conns: make(map[string]*peerConn)} }

// get returns the client of an address, and creates the connection if there is none. The
// caller calls done after the end of its call.
func (p *peerClients) get(address string) (client gatewaypb.GatewayClient, done func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil {
		conn, err := peer.Dial(address, grpc.WithWriteBufferSize(peerWriteBufferBytes),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerMessageBytes)))
		if err != nil {
			return nil, nil, err
		}
		c = &peerConn{ClientConn: conn}
		p.conns[address] = c
	}
	c.calls++
	return gatewaypb.NewGatewayClient(c), func() { p.endCall(c) }, nil
}

func (p *peerClients) endCall(c *peerConn) {
	p.mu.Lock()
	c.calls--
	unused := c.dropped && c.calls == 0
	p.mu.Unlock()
	if unused {
		c.Close()
	}
}

// drop makes the next call to an address open a new connection, as this one may be dead
// without an error. The calls in progress on it may still be answered.
func (p *peerClients) drop(address string) {
	p.mu.Lock()
	c := p.conns[address]
	delete(p.conns, address)
	unused := false
	if c != nil {
		c.dropped = true
		unused = c.calls == 0
	}
	p.mu.Unlock()
	if unused {
		c.Close()
	}
}

func (p *peerClients) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		c.Close()
		delete(p.conns, address)
	}
}

// newPeerServer returns a gRPC server that passes calls to s. It serves on listeners of the
// guard.
func newPeerServer(s *peerServer, guard *peer.Guard, opts ...grpc.ServerOption) *grpc.Server {
	server := peer.NewGRPCServer(maxPeerMessageBytes, guard, append(opts, grpc.WriteBufferSize(peerWriteBufferBytes))...)
	gatewaypb.RegisterGatewayServer(server, s)
	return server
}

// peerServer implements the gRPC service for other instances.
type peerServer struct {
	gatewaypb.UnimplementedGatewayServer
	store   Store
	callers *callerServer
	// memory bounds the memory of calls of other instances, changes that of changes for them.
	memory, changes *memory.Budget
	// stopping is closed when the instance stops. It ends the streams of followers.
	stopping chan struct{}
}

// errNoMemory is the error of a call that was not begun because there is no memory for it. gRPC
// itself never uses its code.
var errNoMemory = status.Error(codes.Aborted, "the instance has no memory for the call")

// takeCall takes the memory of a call with a message of the given size in bytes.
func (s *peerServer) takeCall(bytes int) (*memory.Hold, error) {
	hold, err := s.memory.Take(int64(peer.CallBytes + bytes))
	if err != nil {
		return nil, errNoMemory
	}
	return hold, nil
}

// takeRequest takes the memory of a request of another instance until its release.
func (s *peerServer) takeRequest(req *callerRequest) error {
	hold, err := s.takeCall(len(req.head) + len(req.body))
	if err == nil {
		req.holds = append(req.holds, hold)
	}
	return err
}

// Gather implements gatewaypb.GatewayServer. It handles a delegated request.
func (s *peerServer) Gather(ctx context.Context, in *gatewaypb.GatherRequest) (*gatewaypb.GatherReply, error) {
	req := s.callers.newRequest(in.GetMethod(), gateway.CallerHeaders{AttemptID: in.GetAttemptId(),
		Remaining: time.Duration(in.GetCallerLeftNs()), Organisation: in.GetOrganisation()})
	req.head, req.body, req.delegated = in.GetHead(), in.GetBody(), true
	req.digest = gateway.RequestDigest(in.GetDigest())
	arrived := gateway.Arrived{Host: in.GetHost(), Path: in.GetPath(), Delegated: &gateway.Delegation{
		Objective: time.Duration(in.GetObjectiveLeftNs()), Deadline: time.Duration(in.GetDeadlineLeftNs()),
		Configuration: in.GetConfiguration(),
	}}
	defer req.release()
	if err := s.takeRequest(req); err != nil {
		return nil, err
	}
	a, ok := s.callers.handle(ctx, req, in.GetTraceparent(), arrived)
	if !ok {
		return nil, context.Cause(ctx)
	}
	out := &gatewaypb.GatherReply{Kind: uint32(a.Kind), Reason: a.Reason, Configuration: a.Configuration}
	if a.Kind == gateway.AnswerGathered {
		out.Stamps, out.Missing, out.Records = a.Stamps, uint32(a.Missing), a.Records
	}
	if a.Held {
		out.HeldNs = int64(a.RetryAfter)
	}
	return out, nil
}

// delegate sends a request to another instance in a goroutine, and submits the outcome to
// the core.
func (d *Daemon) delegate(out gateway.Delegate) {
	req := d.callers.request(out.Request)
	if req == nil {
		go d.loop.Submit(gateway.AttemptEnded{Attempt: out.Attempt, Outcome: gateway.OutcomeNotSent, Cause: "the caller left"})
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.addCancel(out.Attempt, cancel)
	traceparent, endSpan := d.spans.StartDelegation(req.traceparent, out)
	go func() {
		ended := gateway.AttemptEnded{Attempt: out.Attempt, Outcome: gateway.OutcomeBroken, Cause: "internal error of this instance"}
		d.protect("delegate", func() { ended = d.gatherAt(ctx, out, req, traceparent) })
		endSpan(ended.Outcome)
		d.removeCancel(out.Attempt)
		cancel()
		d.metrics.Delegated(ended.Outcome)
		d.loop.Submit(ended)
	}()
}

// gatherAt sends a request to another instance and classifies the instance's answer.
func (d *Daemon) gatherAt(ctx context.Context, out gateway.Delegate, req *callerRequest, traceparent string) gateway.AttemptEnded {
	ended := gateway.AttemptEnded{Attempt: out.Attempt, Outcome: gateway.OutcomeNotSent}
	client, done, err := d.peerClients.get(out.To)
	if err != nil {
		ended.Cause = err.Error()
		return ended
	}
	defer done()
	now := d.clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, out.Deadline-now)
	defer cancel()
	var sentTo grpcpeer.Peer // set once the call has a stream on a connection
	reply, err := client.Gather(ctx, &gatewaypb.GatherRequest{
		Method: req.method, Host: req.host, Path: req.path, Head: req.head, Body: req.body, AttemptId: req.caller.AttemptID,
		CallerLeftNs: int64(out.CallerDeadline - now), ObjectiveLeftNs: int64(out.Objective - now), DeadlineLeftNs: int64(out.Deadline - now),
		Configuration: out.Configuration, Traceparent: traceparent, Digest: uint64(req.digest), Organisation: req.caller.Organisation,
	}, grpc.Peer(&sentTo))
	if err != nil {
		ended.Cause = err.Error()
		if status.Code(err) == codes.Aborted {
			ended.Outcome = gateway.OutcomeShed
			return ended
		}
		if sentTo.Addr != nil || status.Code(err) != codes.Unavailable {
			ended.Outcome = gateway.OutcomeBroken
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			ended.Outcome = gateway.OutcomeTimedOut
			d.peerClients.drop(out.To)
		}
		return ended
	}
	ended.Configuration = reply.GetConfiguration()
	switch kind := gateway.AnswerKind(reply.GetKind()); kind {
	case gateway.AnswerGathered:
		ended.Outcome = gateway.OutcomeSuccess
		ended.Gathered = gateway.Gathered{Stamps: reply.GetStamps(), Missing: int(reply.GetMissing()), Records: reply.GetRecords()}
	case gateway.AnswerRefused, gateway.AnswerNoRoute:
		ended.Outcome, ended.Cause, ended.HeldFor = gateway.OutcomeShed, reply.GetReason(), time.Duration(reply.GetHeldNs())
	default:
		ended.Outcome, ended.Cause = gateway.OutcomeFailure, fmt.Sprintf("%v: %s", kind, reply.GetReason())
	}
	return ended
}
