package peer

import (
	"errors"
	"io"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/node/peer/peerpb"
)

// maxFrameBytes bounds a frame. The largest frames hold answers of up to 4 MB
// each to several items, or a handover of booking outcomes.
const maxFrameBytes = 64 << 20

// Server receives the streams of other instances.
type Server struct {
	peerpb.UnimplementedPeerServer
	cfg   Config
	guard *Guard
	grpc  *grpc.Server

	// mu guards streams. It is locked before inboundStream.mu.
	mu      sync.Mutex
	streams map[model.InstanceID]*inboundStream
}

// inboundStream is one accepted stream.
type inboundStream struct {
	// mu orders the inputs of a stream before the report of its break. It is
	// held while an input waits for the event loop.
	mu sync.Mutex
	// replaced is set when a newer stream of the same sender takes over. From
	// then on this stream submits nothing.
	replaced bool
	// submitted is set when the stream has submitted an input.
	submitted bool
}

// NewServer returns a server, which accepts streams once Serve is called. The guard bounds what
// the senders of streams take.
func NewServer(cfg Config, guard *Guard) *Server {
	s := &Server{cfg: cfg, guard: guard, streams: make(map[model.InstanceID]*inboundStream)}
	s.grpc = NewGRPCServer(maxFrameBytes, guard)
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts streams on the listener until Close is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(s.guard.Listen(l)) }

// Close breaks all streams.
func (s *Server) Close() { s.grpc.Stop() }

// Link implements peerpb.PeerServer.
func (s *Server) Link(stream grpc.ClientStreamingServer[peerpb.Frame, peerpb.LinkEnd]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetInstance() == "" {
		return status.Error(codes.InvalidArgument, "the first frame must be a Hello that names the sender")
	}
	from := model.InstanceID(hello.GetInstance())
	if from == s.cfg.Self {
		return status.Error(codes.InvalidArgument, "the sender has the id of the receiver; give each instance its own id")
	}
	if to := model.InstanceID(hello.GetReceiver()); to != s.cfg.Self {
		// The address of an instance that has ended can be assigned to another.
		return status.Errorf(codes.FailedPrecondition, "instance %s is not at this address; %s is", to, s.cfg.Self)
	}
	in := s.register(from)
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		s.unregister(from, in, err)
		return err
	}
	err = s.receive(stream, in, from, model.Incarnation(hello.GetIncarnation()))
	s.unregister(from, in, err)
	if errors.Is(err, io.EOF) {
		return stream.SendAndClose(&peerpb.LinkEnd{})
	}
	return err
}

// register records a new stream of a peer. An older stream of the same peer has
// been abandoned by its sender: its break is reported here, before any frame of
// the new stream.
func (s *Server) register(from model.InstanceID) *inboundStream {
	in := &inboundStream{}
	s.mu.Lock()
	old := s.streams[from]
	s.streams[from] = in
	s.mu.Unlock()
	if old != nil {
		old.mu.Lock()
		defer old.mu.Unlock()
		old.replaced = true
		if old.submitted {
			s.cfg.Submit(model.PeerDown{Peer: from})
		}
	}
	return in
}

// receive submits the messages of a stream until the stream ends. It returns
// io.EOF after an orderly end.
func (s *Server) receive(stream grpc.ClientStreamingServer[peerpb.Frame, peerpb.LinkEnd], in *inboundStream, from model.InstanceID, incarnation model.Incarnation) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		s.cfg.Metrics.FrameReceived()
		message, err := Decode(frame)
		if errors.Is(err, errNoMessage) {
			s.cfg.Log.FrameRefused(from, err)
			continue
		}
		if err != nil {
			// Breaking the stream tells both sides that a message is lost.
			s.cfg.Log.FrameRefused(from, err)
			return status.Error(codes.InvalidArgument, err.Error())
		}
		input := model.Input(model.PeerInput{From: from, Incarnation: incarnation, Message: message})
		if set, ok := message.(model.ConfigSet); ok {
			if input = s.checkSet(from, set); input == nil {
				continue
			}
		}
		if !s.submit(in, input) {
			return status.Error(codes.Aborted, "a newer stream of the sender has replaced this one")
		}
	}
}

// submit submits an input of a stream. It reports false, and submits nothing, if
// the stream has been replaced.
func (s *Server) submit(in *inboundStream, input model.Input) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.replaced {
		return false
	}
	in.submitted = true
	s.cfg.Submit(input)
	return true
}

// checkSet parses and checks a set, in the goroutine of its stream to keep the
// event loop free. It returns nil, after a log line, for a set that is refused.
func (s *Server) checkSet(from model.InstanceID, message model.ConfigSet) model.Input {
	set, findings := objects.Parse(message.Raw)
	if set == nil {
		s.cfg.Log.SetRefused("instance "+string(from), findingTexts(findings))
		return nil
	}
	return model.PeerConfig{From: from, Raw: message.Raw, Set: set}
}

func findingTexts(findings []objects.Finding) []string {
	return mapSlice(findings, objects.Finding.String)
}

// unregister removes a stream that has ended, and reports its break unless the
// end was orderly.
func (s *Server) unregister(from model.InstanceID, in *inboundStream, err error) {
	s.mu.Lock()
	if s.streams[from] == in {
		delete(s.streams, from)
	}
	s.mu.Unlock()
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.replaced && in.submitted && !errors.Is(err, io.EOF) {
		s.cfg.Log.LinkBroken(from, "receive", err)
		s.cfg.Submit(model.PeerDown{Peer: from})
	}
}
