package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
	"galenadyke.dev/node/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testInstance is one side of a connection. It records the submitted inputs and the
// refusals, and its clock can be set.
type testInstance struct {
	inputs   chan model.Input
	refusals chan string
	boot     atomic.Int64
}

func newTestInstance() *testInstance {
	return &testInstance{inputs: make(chan model.Input, 8192), refusals: make(chan string, 64)}
}

func (i *testInstance) LinkBroken(model.InstanceID, string, error) {}
func (i *testInstance) FrameRefused(_ model.InstanceID, err error) { i.refusals <- err.Error() }
func (i *testInstance) SetRefused(source string, findings []string) {
	i.refusals <- source + ": " + findings[0]
}
func (i *testInstance) FrameSent()     {}
func (i *testInstance) FrameReceived() {}
func (i *testInstance) StreamBroken()  {}

func (i *testInstance) config(self model.InstanceID) Config {
	return Config{Self: self, Incarnation: 7, Log: i, Metrics: i,
		Submit:   func(in model.Input) bool { i.inputs <- in; return true },
		BootTime: func() time.Duration { return time.Duration(i.boot.Load()) }}
}

func (i *testInstance) links(t *testing.T) *Links {
	l := NewLinks(i.config("a"))
	t.Cleanup(l.Close)
	return l
}

// serve starts a server at the address. It returns the server's address and a
// function that stops the server and breaks its streams.
func (i *testInstance) serve(t *testing.T, address string) (string, func()) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(i.config("b"), NewGuard(8, memory.NewBudget(maxFrameBytes)))
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	closed := false
	stop := func() {
		if !closed {
			closed = true
			s.Close()
			<-done
		}
	}
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func relayRequest(n uint64) model.RelayRequest {
	return model.RelayRequest{BookingID: fmt.Sprintf("booking-%d", n), Budget: time.Second, Body: []byte("{}"),
		Items: []model.RelayItem{{Ref: model.WorkRef{Origin: "a", Incarnation: 7, Seq: n}, Target: "t"}}}
}

// Guards against frames that are lost, repeated or reordered, against a budget
// that ignores the time in the queue, and against an orderly end that is reported
// as a break.
func TestFramesArriveOnceInOrder(t *testing.T) {
	a, b := newTestInstance(), newTestInstance()
	address, _ := b.serve(t, "127.0.0.1:0")
	links := a.links(t)
	const n = 500
	for i := range uint64(n) {
		links.Send(model.SendPeer{To: "b", Address: address, Message: relayRequest(i)})
	}
	links.Close()
	for i := range uint64(n) {
		if diff := cmp.Diff(model.Input(model.PeerInput{From: "a", Incarnation: 7, Message: relayRequest(i)}), <-b.inputs); diff != "" {
			t.Fatal(diff)
		}
	}
	if len(a.inputs) != 0 || len(b.inputs) != 0 {
		t.Errorf("inputs after an orderly end: got %d at the sender and %d at the receiver, want none", len(a.inputs), len(b.inputs))
	}
	waited := deductQueueTime(relayRequest(1), 300*time.Millisecond).(model.RelayRequest)
	if waited.Budget != 700*time.Millisecond {
		t.Errorf("budget of 1 s after 300 ms in the queue: got %v, want 700ms", waited.Budget)
	}
}

// Guards against a break that is not reported on both sides, and against a frame
// that is sent again after the break.
func TestBrokenStreamIsReportedAndNotRepeated(t *testing.T) {
	a, b := newTestInstance(), newTestInstance()
	address, stopServer := b.serve(t, "127.0.0.1:0")
	links := a.links(t)
	send := func(n uint64) { links.Send(model.SendPeer{To: "b", Address: address, Message: relayRequest(n)}) }
	send(0)
	first := <-b.inputs
	stopServer()
	if in := <-a.inputs; in != (model.PeerDown{Peer: "b"}) {
		t.Errorf("sender after the break: got %+v, want PeerDown for b", in)
	}
	if in := <-b.inputs; in != (model.PeerDown{Peer: "a"}) {
		t.Errorf("receiver after the break: got input %+v after the first input %+v, want PeerDown for a", in, first)
	}
	send(1) // no server: the lost message must be reported
	if in := <-a.inputs; in != (model.PeerDown{Peer: "b"}) {
		t.Errorf("sender without a server: got %+v, want PeerDown for b", in)
	}
	b.serve(t, address)
	// Sends fail until the connection's backoff has passed.
	for n := uint64(2); ; n++ {
		send(n)
		select {
		case in := <-b.inputs:
			if got := in.(model.PeerInput).Message.(model.RelayRequest).Items[0].Ref.Seq; got != n {
				t.Errorf("message after the break: got sequence number %d, want %d", got, n)
			}
			return
		case <-a.inputs:
		}
	}
}

// Guards against a queue that grows without bound, or that blocks the event loop,
// while the peer does not read.
func TestOverflowBreaksTheLink(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections; nothing answers
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a := newTestInstance()
	links := a.links(t)
	for i := range uint64(maxQueueFrames + 2) {
		links.Send(model.SendPeer{To: "b", Address: l.Addr().String(), Message: relayRequest(i)})
	}
	if in := <-a.inputs; in != (model.PeerDown{Peer: "b"}) {
		t.Errorf("input after the overflow: got %+v, want PeerDown for b", in)
	}
	link := newLink(links, "c", "")
	link.push(queuedMessage{bytes: maxQueueBytes + 1})
	if len(link.queue) != 0 || len(link.overflow) != 1 {
		t.Error("got a message over maxQueueBytes queued or no overflow signal, want the message dropped and a signal")
	}
}

// Guards against delivery to an instance that has taken over the address of the intended
// receiver.
func TestAnotherInstanceAtTheAddress(t *testing.T) {
	a, b := newTestInstance(), newTestInstance()
	address, _ := b.serve(t, "127.0.0.1:0")
	a.links(t).Send(model.SendPeer{To: "c", Address: address, Message: relayRequest(1)})
	if in := <-a.inputs; in != (model.PeerDown{Peer: "c"}) || len(b.inputs) != 0 {
		t.Errorf("got input %+v at the sender and %d inputs at the other instance, want PeerDown for c and no input", in, len(b.inputs))
	}
}

// Guards against a set that reaches the core unchecked.
func TestSetsAreCheckedOnArrival(t *testing.T) {
	source, findings := objects.Load([]string{"../../examples/lagos"})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	raw, err := objects.Bundle(source.Set, 3)
	if err != nil {
		t.Fatal(err)
	}
	a, b := newTestInstance(), newTestInstance()
	address, _ := b.serve(t, "127.0.0.1:0")
	links := a.links(t)
	links.Send(model.SendPeer{To: "b", Address: address, Message: model.ConfigSet{Raw: []byte(`{"generation":9}`)}})
	links.Send(model.SendPeer{To: "b", Address: address, Message: model.ConfigSet{Raw: raw}})
	in, ok := (<-b.inputs).(model.PeerConfig)
	if !ok || in.From != "a" || in.Set == nil || in.Set.Generation != 3 || string(in.Raw) != string(raw) {
		t.Errorf("got input %+v, want the valid set of generation 3 from a with its raw bytes", in)
	}
	if refusal := <-b.refusals; !strings.HasPrefix(refusal, "instance a: ") {
		t.Errorf("refusal: got %q, want prefix \"instance a: \"", refusal)
	}
}

// Guards against an older stream of a peer whose late end is reported as a break
// of the newer stream.
func TestNewerStreamReplacesTheOlder(t *testing.T) {
	b := newTestInstance()
	s := NewServer(b.config("b"), NewGuard(8, memory.NewBudget(maxFrameBytes)))
	old := s.register("a")
	s.submit(old, model.PeerDown{Peer: "marker"})
	s.register("a")
	if s.submit(old, model.Shutdown{}) {
		t.Error("replaced stream: got an input submitted, want none")
	}
	s.unregister("a", old, errors.New("broken late"))
	close(b.inputs)
	var got []model.Input
	for in := range b.inputs {
		got = append(got, in)
	}
	if diff := cmp.Diff([]model.Input{model.PeerDown{Peer: "marker"}, model.PeerDown{Peer: "a"}}, got); diff != "" {
		t.Error(diff)
	}
}

// refusingServer is an HTTP/2 server without gRPC. It refuses the first stream,
// which triggers gRPC's transparent retry, answers the second stream with headers,
// and refuses the second as well after a booking arrives. It returns the data
// frames that it reads.
func refusingServer(t *testing.T, l net.Listener) <-chan string {
	dataFrames := make(chan string, 64)
	go func() {
		defer close(dataFrames)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
			return
		}
		f := http2.NewFramer(c, c)
		_ = f.WriteSettings()
		streams := 0
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				return
			}
			switch frame := frame.(type) {
			case *http2.SettingsFrame:
				if !frame.IsAck() {
					_ = f.WriteSettingsAck()
				}
			case *http2.HeadersFrame:
				if streams++; streams == 2 {
					var block strings.Builder
					enc := hpack.NewEncoder(&block)
					_ = enc.WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
					_ = enc.WriteField(hpack.HeaderField{Name: "content-type", Value: "application/grpc"})
					_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: frame.StreamID, BlockFragment: []byte(block.String()), EndHeaders: true})
				}
			case *http2.DataFrame:
				dataFrames <- string(frame.Data())
				if streams == 1 || strings.Contains(string(frame.Data()), "booking-1") {
					_ = f.WriteRSTStream(frame.StreamID, http2.ErrCodeRefusedStream)
				}
			}
		}
	}()
	return dataFrames
}

// Guards against a booking sent twice by gRPC's transparent retry, which repeats a
// stream that the server has refused as unprocessed, even with retries disabled.
// The retry may repeat the Hello, but never a frame with a booking.
func TestTransparentRetryDoesNotRepeatABooking(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dataFrames := refusingServer(t, l)
	a := newTestInstance()
	links := a.links(t)
	links.Send(model.SendPeer{To: "b", Address: l.Addr().String(), Message: relayRequest(1)})
	if in := <-a.inputs; in != (model.PeerDown{Peer: "b"}) {
		t.Errorf("input at the sender: got %+v, want PeerDown for b", in)
	}
	links.Close()
	hellos, bookings := 0, 0
	for data := range dataFrames {
		if strings.Contains(data, "booking-1") {
			bookings++
		} else if len(data) > 0 {
			hellos++
		}
	}
	if hellos != 2 || bookings != 1 {
		t.Errorf("got %d hellos and %d bookings at the server, want 2 (gRPC has retried the stream) and 1", hellos, bookings)
	}
}
