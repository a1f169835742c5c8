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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// end is one side of a connection: its inputs, refusals and clock.
type end struct {
	inputs   chan model.Input
	refusals chan string
	boot     atomic.Int64
}

func newEnd() *end {
	return &end{inputs: make(chan model.Input, 8192), refusals: make(chan string, 64)}
}

func (e *end) LinkBroken(model.InstanceID, string, error)  {}
func (e *end) FrameRefused(_ model.InstanceID, err error)  { e.refusals <- err.Error() }
func (e *end) SetRefused(source string, findings []string) { e.refusals <- source + ": " + findings[0] }
func (e *end) FrameSent()                                  {}
func (e *end) FrameReceived()                              {}
func (e *end) StreamBroken()                               {}

func (e *end) config(self model.InstanceID) Config {
	return Config{Self: self, Incarnation: 7, Log: e, Metrics: e,
		Submit: func(in model.Input) bool { e.inputs <- in; return true },
		Boot:   func() time.Duration { return time.Duration(e.boot.Load()) }}
}

func (e *end) links(t *testing.T) *Links {
	l := NewLinks(e.config("a"))
	t.Cleanup(l.Close)
	return l
}

// serve starts a server at the address and returns the function that breaks it.
func (e *end) serve(t *testing.T, address string) (string, func()) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(e.config("b"))
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

func relay(n uint64) model.RelayRequest {
	return model.RelayRequest{BookingID: fmt.Sprintf("booking-%d", n), Budget: time.Second, Body: []byte("{}"),
		Items: []model.RelayItem{{Ref: model.WorkRef{Origin: "a", Incarnation: 7, Seq: n}, Target: "t"}}}
}

// Guards against frames that are lost, repeated or reordered, against a budget
// that grows by the wait in the queue, and against an orderly end that is taken
// for a break.
func TestFramesArriveOnceInOrder(t *testing.T) {
	a, b := newEnd(), newEnd()
	address, _ := b.serve(t, "127.0.0.1:0")
	links := a.links(t)
	const n = 500
	for i := range uint64(n) {
		links.Send(model.SendPeer{To: "b", Address: address, Message: relay(i)})
	}
	links.Close()
	for i := range uint64(n) {
		if diff := cmp.Diff(model.Input(model.PeerInput{From: "a", Incarnation: 7, Message: relay(i)}), <-b.inputs); diff != "" {
			t.Fatal(diff)
		}
	}
	if len(a.inputs) != 0 || len(b.inputs) != 0 {
		t.Errorf("inputs after an orderly end: %d at the sender, %d at the receiver", len(a.inputs), len(b.inputs))
	}
	waited := spend(relay(1), 300*time.Millisecond).(model.RelayRequest)
	if waited.Budget != 700*time.Millisecond {
		t.Errorf("budget %v after a wait of 300 ms", waited.Budget)
	}
}

// Guards against a break that a side does not learn of, and against a frame
// that is sent again after it.
func TestBrokenStreamIsReportedAndNotRepeated(t *testing.T) {
	a, b := newEnd(), newEnd()
	address, breakIt := b.serve(t, "127.0.0.1:0")
	links := a.links(t)
	send := func(n uint64) { links.Send(model.SendPeer{To: "b", Address: address, Message: relay(n)}) }
	send(0)
	first := <-b.inputs
	breakIt()
	if in := <-a.inputs; in != (model.PeerDown{Peer: "b"}) {
		t.Errorf("sender got %+v", in)
	}
	if in := <-b.inputs; in != (model.PeerDown{Peer: "a"}) {
		t.Errorf("receiver got %+v after %+v", in, first)
	}
	send(1) // nobody listens: reported as well, because it is lost
	if in := <-a.inputs; in != (model.PeerDown{Peer: "b"}) {
		t.Errorf("sender got %+v", in)
	}
	b.serve(t, address)
	// The backoff of the connection passes while sends fail.
	for n := uint64(2); ; n++ {
		send(n)
		select {
		case in := <-b.inputs:
			if got := in.(model.PeerInput).Message.(model.RelayRequest).Items[0].Ref.Seq; got != n {
				t.Errorf("frame %d arrived after the break, want %d", got, n)
			}
			return
		case <-a.inputs:
		}
	}
}

// Guards against a queue that grows without bound or blocks the loop while the
// peer does not read.
func TestOverflowBreaksTheLink(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts by the kernel's backlog and stays silent
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a := newEnd()
	links := a.links(t)
	for i := range uint64(queueFrames + 2) {
		links.Send(model.SendPeer{To: "b", Address: l.Addr().String(), Message: relay(i)})
	}
	if in := <-a.inputs; in != (model.PeerDown{Peer: "b"}) {
		t.Errorf("got %+v", in)
	}
	link := newLink(links, "c", "")
	link.push(queued{bytes: queueBytes + 1})
	if len(link.queue) != 0 || len(link.overflow) != 1 {
		t.Error("a message over the limit in bytes was queued")
	}
}

// Guards against messages for an instance that has ended, whose address another
// one has got.
func TestAnotherInstanceAtTheAddress(t *testing.T) {
	a, b := newEnd(), newEnd()
	address, _ := b.serve(t, "127.0.0.1:0")
	a.links(t).Send(model.SendPeer{To: "c", Address: address, Message: relay(1)})
	if in := <-a.inputs; in != (model.PeerDown{Peer: "c"}) || len(b.inputs) != 0 {
		t.Errorf("got %+v, and the other instance %d inputs", in, len(b.inputs))
	}
}

// Guards against a set that reaches the core without the check.
func TestSetsAreCheckedOnArrival(t *testing.T) {
	source, findings := objects.Load([]string{"../../examples/lagos"})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	raw, err := objects.Bundle(source.Set, 3)
	if err != nil {
		t.Fatal(err)
	}
	a, b := newEnd(), newEnd()
	address, _ := b.serve(t, "127.0.0.1:0")
	links := a.links(t)
	links.Send(model.SendPeer{To: "b", Address: address, Message: model.ConfigSet{Raw: []byte(`{"generation":9}`)}})
	links.Send(model.SendPeer{To: "b", Address: address, Message: model.ConfigSet{Raw: raw}})
	in, ok := (<-b.inputs).(model.PeerConfig)
	if !ok || in.From != "a" || in.Set == nil || in.Set.Generation != 3 || string(in.Raw) != string(raw) {
		t.Errorf("got %+v", in)
	}
	if refusal := <-b.refusals; !strings.HasPrefix(refusal, "instance a: ") {
		t.Errorf("refusal %q", refusal)
	}
}

// Guards against an older stream of a peer whose late end would be taken for a
// break of the newer one.
func TestNewerStreamReplacesTheOlder(t *testing.T) {
	b := newEnd()
	s := NewServer(b.config("b"))
	old := s.accept("a")
	s.pass(old, model.PeerDown{Peer: "marker"})
	s.accept("a")
	if s.pass(old, model.Shutdown{}) {
		t.Error("a replaced stream passed an input")
	}
	s.ended("a", old, errors.New("broken late"))
	close(b.inputs)
	var got []model.Input
	for in := range b.inputs {
		got = append(got, in)
	}
	if diff := cmp.Diff([]model.Input{model.PeerDown{Peer: "marker"}, model.PeerDown{Peer: "a"}}, got); diff != "" {
		t.Error(diff)
	}
}

// rawServer speaks HTTP/2 by hand: it refuses the first stream, which makes
// gRPC retry it by itself, answers the second with headers, and refuses that
// one too when it has read a booking. It returns what it read.
func rawServer(t *testing.T, l net.Listener) <-chan string {
	read := make(chan string, 64)
	go func() {
		defer close(read)
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
				read <- string(frame.Data())
				if streams == 1 || strings.Contains(string(frame.Data()), "booking-1") {
					_ = f.WriteRSTStream(frame.StreamID, http2.ErrCodeRefusedStream)
				}
			}
		}
	}()
	return read
}

// Guards against gRPC's transparent retry, which acts on a stream that the
// server says it has not processed even with retries disabled: it may repeat
// the Hello, but never a frame with a booking.
func TestTransparentRetryDoesNotRepeatABooking(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	read := rawServer(t, l)
	a := newEnd()
	links := a.links(t)
	links.Send(model.SendPeer{To: "b", Address: l.Addr().String(), Message: relay(1)})
	if in := <-a.inputs; in != (model.PeerDown{Peer: "b"}) {
		t.Errorf("got %+v", in)
	}
	links.Close()
	hellos, bookings := 0, 0
	for data := range read {
		if strings.Contains(data, "booking-1") {
			bookings++
		} else if len(data) > 0 {
			hellos++
		}
	}
	if hellos != 2 || bookings != 1 {
		t.Errorf("the server read %d hellos and %d bookings, want 2 (gRPC has retried the stream) and 1", hellos, bookings)
	}
}
