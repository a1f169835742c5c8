package gateway

import (
	"bufio"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/gateway/gatewaypb"
)

// FuzzReply guards against bytes of a target that panic the reader, or that make an answer
// without a stamp or of another request a success.
func FuzzReply(f *testing.F) {
	for _, flood := range floods {
		f.Add([]byte(flood.prefix+flood.piece), false)
	}
	f.Add([]byte(okAnswer("a", "12345")), true)
	f.Add([]byte(okAnswer("b", "12345")+okAnswer("a", "1")), false)
	f.Fuzz(func(t *testing.T, answer []byte, gather bool) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(answer)
			far.Close()
		}()
		defer near.Close()
		in := &limitedReader{r: near, left: unlimited}
		c := &conn{Conn: near, in: in, br: bufio.NewReaderSize(in, connReadBufferBytes)}
		u := newTestUpstream().u
		a := &attempt{req: &callerRequest{method: "GET", caller: gateway.CallerHeaders{AttemptID: "a"}}, out: gateway.SendAttempt{Gather: gather}}
		r, headers, _, err := u.readReply(a, c)
		if err != nil {
			return
		}
		ended := gateway.AttemptEnded{}
		u.classify(a, &ended, r, headers)
		if ended.Outcome == gateway.OutcomeSuccess && (headers.Stamp == "" || headers.AttemptID != "" && headers.AttemptID != "a") {
			t.Errorf("an answer with headers %+v is a success", headers)
		}
		if len(r.body) > maxReplyBytes {
			t.Errorf("got a body of %d bytes", len(r.body))
		}
	})
}

// FuzzPeerMessages guards against messages of other instances that panic their decoders.
func FuzzPeerMessages(f *testing.F) {
	reply, err := proto.Marshal(encodeForwardReply(gateway.ReplyBatch{Ends: []gateway.BatchEnd{{Index: 1, End: gateway.AttemptEnded{HasLoad: true, HasCold: true}}}}))
	if err != nil {
		f.Fatal(err)
	}
	state, err := proto.Marshal(encodeState(gateway.StateMessage{Sender: gateway.MemberState{Name: "a"}, Members: []gateway.MemberState{{Name: "b"}},
		Crashes:    []gateway.CrashNews{{Digest: 1, Organisation: 2, Incarnation: 3, Attempt: 4}, {Digest: 2, Organisation: 2, Cleared: true}},
		Departures: []gateway.Departure{{Target: "i-1", StartedAtMillis: 1, Report: 2}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(reply)
	f.Add(state)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var forwarded gatewaypb.ForwardReply
		if proto.Unmarshal(raw, &forwarded) == nil {
			decodeForwardReply(1, &forwarded)
		}
		var state gatewaypb.State
		if proto.Unmarshal(raw, &state) == nil {
			decodeState(&state)
		}
		var change gatewaypb.Change
		if proto.Unmarshal(raw, &change) == nil {
			decodeChange(&change)
		}
	})
}
