package gateway

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
	"galenadyke.dev/node/gateway/gatewaypb"
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

// Guards against news of crashes that is changed on its way, or that lives on because ages shrink.
func TestCrashNewsIsDecodedAsSent(t *testing.T) {
	sent := []gateway.CrashNews{
		{Digest: 1 << 63, Organisation: 2, Incarnation: 3, Attempt: 1<<32 - 1, Age: 1500 * time.Millisecond},
		{Digest: 1 << 63, Organisation: 2, Incarnation: 1<<32 - 1, Attempt: 4, Age: 1500 * time.Millisecond},
		{Digest: 7, Organisation: 5, Incarnation: 6, Attempt: 7, Age: 10 * time.Minute},
		{Digest: 8, Organisation: 9, Cleared: true},
	}
	raw, err := marshalState(gateway.StateMessage{Sender: gateway.MemberState{Name: "a"}, Crashes: sent})
	if err != nil {
		t.Fatal(err)
	}
	var in gatewaypb.State
	if err := proto.Unmarshal(raw, &in); err != nil {
		t.Fatal(err)
	}
	if got := decodeState(&in).Crashes; !slices.Equal(got, sent) {
		t.Errorf("got news %+v, want %+v", got, sent)
	}
	if got := encodeAge(100*time.Millisecond + 1); got != 2 {
		t.Errorf("an age of just over 100 ms is sent as %d units, want 2: it is rounded up", got)
	}
}

// Guards against departures that are changed on their way, or that live on because ages shrink.
func TestDeparturesAreDecodedAsSent(t *testing.T) {
	sent := gateway.StateMessage{Sender: gateway.MemberState{Name: "a"}, WantsDepartures: true, Departures: []gateway.Departure{
		{Target: "i-1", StartedAtMillis: 1 << 41, Report: 1 << 40, Age: 59 * time.Second},
		{Target: "i-2", Age: 50 * time.Millisecond, Leaving: true},
	}}
	raw, err := marshalState(sent)
	if err != nil {
		t.Fatal(err)
	}
	var in gatewaypb.State
	if err := proto.Unmarshal(raw, &in); err != nil {
		t.Fatal(err)
	}
	sent.Departures[1].Age = 100 * time.Millisecond
	if got := decodeState(&in); !got.WantsDepartures || !slices.Equal(got.Departures, sent.Departures) {
		t.Errorf("got %+v, want %+v", got.Departures, sent.Departures)
	}
}

// Guards against state messages that the receiver refuses because of their news and long names.
func TestStateMessageFitsADatagram(t *testing.T) {
	sender := gateway.MemberState{Name: model.InstanceID("front-" + strings.Repeat("x", 30)), Address: "10.255.255.255:65535",
		Place: model.PlaceID(strings.Repeat("y", 30)), Incarnation: math.MaxUint64, Heartbeat: 1 << 30, Configuration: 1 << 30, Era: 100, Revision: 1 << 40,
		Serving: true, StoreAnswers: true, Capacity: 0.192, StoreAge: time.Hour}
	g := gateway.New(gateway.Config{Self: "self", Address: "10.0.0.1:1", Place: "here", Capacity: 1, Seed: 1})
	now := time.Second
	largest := 0
	for i := range 200 {
		in := gateway.StateMessage{Sender: sender, WantsReply: true}
		in.Sender.Name += model.InstanceID(fmt.Sprint(i % 40))
		in.Sender.Heartbeat = uint64(i / 40) // in its first rounds, so that it gets the table
		in.Sender.Incarnation = uint64(i)
		for j := range 3 {
			in.Crashes = append(in.Crashes, gateway.CrashNews{Digest: gateway.RequestDigest(1 + i), Organisation: 1,
				Incarnation: uint32(1 + j), Attempt: uint32(1 + j%(1+i%3)), Age: time.Minute})
		}
		g.Step(gateway.StateReceived{State: in})
		for _, out := range g.Tick(model.Now{Mono: now, Boot: now}) {
			out, ok := out.(gateway.SendState)
			if !ok {
				continue
			}
			raw, err := marshalState(out.State)
			if err != nil {
				t.Fatal(err)
			}
			if largest = max(largest, len(raw)); len(raw) > maxStateMessageBytes {
				t.Fatalf("got a message of %d bytes with %d members and %d news, want at most %d", len(raw), len(out.State.Members), len(out.State.Crashes), maxStateMessageBytes)
			}
		}
		now += 50 * time.Millisecond
	}
	if largest < maxStateMessageBytes/2 {
		t.Errorf("the largest message has %d bytes, so the test shows nothing", largest)
	}
}
