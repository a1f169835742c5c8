package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
	"galenadyke.dev/node/gateway/gatewaypb"
)

// Forward implements gatewaypb.GatewayServer. It sends the attempts of another instance's
// request to targets and streams their ends.
func (s *peerServer) Forward(in *gatewaypb.ForwardRequest, stream grpc.ServerStreamingServer[gatewaypb.ForwardReply]) error {
	if n := len(in.GetTargets()); n == 0 || n > maxForwardedAttempts {
		return status.Errorf(codes.InvalidArgument, "the batch has %d attempts and may have 1 to %d", n, maxForwardedAttempts)
	}
	c := s.callers
	req := c.newRequest(in.GetMethod(), gateway.CallerHeaders{AttemptID: in.GetAttemptId(),
		Remaining: time.Duration(in.GetCallerLeftNs()), Organisation: in.GetOrganisation()})
	req.head, req.body, req.delegated = in.GetHead(), in.GetBody(), true
	req.digest = gateway.RequestDigest(in.GetDigest())
	defer req.release()
	if err := s.takeRequest(req); err != nil {
		return err
	}
	// A reply reports at least one end, so the core never blocks on the channel.
	req.forwarded = make(chan gateway.ReplyBatch, len(in.GetTargets()))
	var endSpan func(failure string)
	req.traceparent, endSpan = c.spans.StartRequest(in.GetTraceparent(), req.caller.AttemptID, true)
	c.add(req)
	defer c.remove(req.id)
	arrived := gateway.BatchArrived{Request: req.id, Route: in.GetRoute(), TopK: int(in.GetTopK()), At: c.bootTime(),
		ReportDelay: time.Duration(in.GetReportDelayNs()), Deadline: time.Duration(in.GetDeadlineLeftNs()), Remaining: req.caller.Remaining,
		Digest: req.digest, Organisation: req.caller.Organisation, AttemptID: req.caller.AttemptID}
	for _, id := range in.GetTargets() {
		arrived.Targets = append(arrived.Targets, model.TargetID(id))
	}
	c.submit(arrived)
	for {
		select {
		case out := <-req.forwarded:
			if err := stream.Send(encodeForwardReply(out)); err != nil {
				c.submit(gateway.CallerDisconnected{Request: req.id})
				endSpan("sender_left")
				return err
			}
			if out.Done {
				endSpan("")
				return nil
			}
		case <-stream.Context().Done():
			c.submit(gateway.CallerDisconnected{Request: req.id})
			endSpan("sender_left")
			return context.Cause(stream.Context())
		}
	}
}

// sendBatch sends a batch to its forwarder in a goroutine, and submits the ends of its
// attempts and then its own to the core.
func (d *Daemon) sendBatch(out gateway.SendBatch) {
	req := d.callers.request(out.Request)
	if req == nil {
		go d.loop.Submit(gateway.BatchEnded{Batch: out.Batch, Outcome: gateway.OutcomeNotSent, Cause: "the caller left"})
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.addCancel(out.Batch, cancel)
	traceparent, endSpan := d.spans.StartForwarding(req.traceparent, out)
	go func() {
		ended := gateway.BatchEnded{Batch: out.Batch, Outcome: gateway.OutcomeBroken, Cause: "internal error of this instance"}
		d.protect("forward", func() { ended.Outcome, ended.Cause = d.forwardThrough(ctx, out, req, traceparent) })
		endSpan(ended.Outcome)
		d.removeCancel(out.Batch)
		cancel()
		d.metrics.Forwarded(ended.Outcome)
		d.loop.Submit(ended)
	}()
}

// forwardThrough sends a batch to its forwarder, submits the replies to the core, and
// classifies the end of the stream.
func (d *Daemon) forwardThrough(ctx context.Context, out gateway.SendBatch, req *callerRequest, traceparent string) (gateway.Outcome, string) {
	client, done, err := d.peerClients.get(out.To)
	if err != nil {
		return gateway.OutcomeNotSent, err.Error()
	}
	defer done()
	now := d.clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, out.Deadline-now)
	defer cancel()
	in := &gatewaypb.ForwardRequest{Method: req.method, Head: req.head, Body: req.body, AttemptId: req.caller.AttemptID,
		Route: out.Route, TopK: uint32(out.TopK), CallerLeftNs: int64(out.CallerDeadline - now), DeadlineLeftNs: int64(out.Deadline - now),
		ReportDelayNs: int64(out.ReportDelay), Traceparent: traceparent, Digest: uint64(req.digest), Organisation: req.caller.Organisation}
	for _, id := range out.Targets {
		in.Targets = append(in.Targets, string(id))
	}
	var sentTo grpcpeer.Peer // set once the call has a stream on a connection
	stream, err := client.Forward(ctx, in, grpc.Peer(&sentTo))
	replied := false
	for err == nil {
		var reply *gatewaypb.ForwardReply
		if reply, err = stream.Recv(); err == nil {
			replied = true
			d.loop.Submit(decodeForwardReply(out.Batch, reply))
		}
	}
	return classifyForwardEnd(ctx, err, replied, sentTo.Addr != nil), err.Error()
}

// classifyForwardEnd returns the outcome of a batch whose stream ended with err. sent reports
// whether the batch may have been sent on a connection, replied whether the forwarder sent a
// reply.
func classifyForwardEnd(ctx context.Context, err error, replied, sent bool) gateway.Outcome {
	switch code := status.Code(err); {
	case errors.Is(err, io.EOF):
		return gateway.OutcomeSuccess
	case replied:
		return gateway.OutcomeBroken
	case code == codes.Unimplemented || code == codes.InvalidArgument || code == codes.Aborted:
		return gateway.OutcomeShed
	case code == codes.Unavailable && !sent:
		return gateway.OutcomeNotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gateway.OutcomeTimedOut
	default:
		return gateway.OutcomeBroken
	}
}

func encodeForwardReply(out gateway.ReplyBatch) *gatewaypb.ForwardReply {
	reply := &gatewaypb.ForwardReply{Records: out.Records, Configuration: out.Configuration, Stopping: out.Stopping}
	for _, end := range out.Ends {
		e := &gatewaypb.ForwardedEnd{Index: uint32(end.Index), Refused: end.Refused}
		if !end.Refused {
			in := end.End
			e.Outcome, e.Status, e.Stamp, e.Cause = uint32(in.Outcome), uint32(in.Status), in.Part.Stamp, in.Cause
			e.Reused, e.Leaving = in.Reused, in.Leaving
			if in.HasLoad {
				e.Load = &gatewaypb.Load{Running: int32(in.Load.Running), Waiting: int32(in.Load.Waiting), Slots: int32(in.Load.Slots)}
			}
			if in.HasCold {
				coldFor := int64(in.ColdFor)
				e.ColdForNs = &coldFor
			}
			if in.HasRateLimit {
				e.RateLimit = &in.RateLimit
			}
		}
		reply.Ends = append(reply.Ends, e)
	}
	return reply
}

func decodeForwardReply(batch gateway.AttemptID, in *gatewaypb.ForwardReply) gateway.BatchReplied {
	out := gateway.BatchReplied{Batch: batch, Records: in.GetRecords(), Configuration: in.GetConfiguration(), Stopping: in.GetStopping()}
	for _, e := range in.GetEnds() {
		end := gateway.BatchEnd{Index: int(e.GetIndex()), Refused: e.GetRefused()}
		end.End = gateway.AttemptEnded{Outcome: gateway.Outcome(min(e.GetOutcome(), maxOutcomeByte)), Status: int(e.GetStatus()),
			Part: gateway.Part{Stamp: e.GetStamp()}, Cause: e.GetCause(), Reused: e.GetReused(), Leaving: e.GetLeaving(),
			HasLoad: e.Load != nil, ColdFor: time.Duration(e.GetColdForNs()), HasCold: e.ColdForNs != nil,
			RateLimit: e.GetRateLimit(), HasRateLimit: e.RateLimit != nil}
		if load := e.GetLoad(); load != nil {
			end.End.Load = gateway.Load{Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots())}
		}
		out.Ends = append(out.Ends, end)
	}
	return out
}

// maxOutcomeByte replaces outcomes that do not fit into a gateway.Outcome, so that the core
// refuses them.
const maxOutcomeByte = 255
