package gateway

import (
	"net"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
)

// refusedFrames is a Log that records the errors of refused messages.
type refusedFrames struct{ errs chan error }

func (r refusedFrames) FrameRefused(_ model.InstanceID, err error) { r.errs <- err }
func (refusedFrames) ReadFailed(string, error)                     {}
func (refusedFrames) EntryRefused(string, string)                  {}

// Guards against datagrams that end the process or are applied in part: malformed and
// overlong ones are refused with an error that says so, and the next message is received.
func TestMalformedStateMessagesAreRefused(t *testing.T) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	refused := refusedFrames{make(chan error, 1)}
	received := make(chan gateway.Input, 1)
	link := &stateLink{socket: socket, log: refused, submit: func(in gateway.Input) bool { received <- in; return true },
		protect: func(_ string, f func()) bool { f(); return false }}
	go link.run()
	conn, err := net.Dial("udp", socket.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	message := func(name string) []byte {
		raw, err := proto.Marshal(encodeState(gateway.StateMessage{Sender: gateway.MemberState{Name: model.InstanceID(name)}}))
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for want, raw := range map[string][]byte{
		"more than":   message(strings.Repeat("x", maxStateMessageBytes)),
		"no name":     message(""),
		"not a state": []byte("\xff\xff\xff garbage"),
	} {
		if _, err := conn.Write(raw); err != nil {
			t.Fatal(err)
		}
		if got := <-refused.errs; !strings.Contains(got.Error(), want) {
			t.Errorf("got error %q, want one with %q", got, want)
		}
	}
	if _, err := conn.Write(message("front-1")); err != nil {
		t.Fatal(err)
	}
	if in := (<-received).(gateway.StateReceived); in.State.Sender.Name != "front-1" {
		t.Errorf("got a message from %q, want front-1", in.State.Sender.Name)
	}
}
