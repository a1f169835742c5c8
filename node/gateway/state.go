package gateway

import (
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
	"galenadyke.dev/node/gateway/gatewaypb"
)

// stateLink exchanges state messages with other instances as datagrams. Datagrams need
// no connection, so the memory for peers does not grow with the fleet. The next round of
// messages makes up for a lost one.
type stateLink struct {
	socket net.PacketConn
	submit func(gateway.Input) bool
	log    Log
	// protect calls f for one message and survives a panic in it.
	protect func(task string, f func()) (panicked bool)
}

// errNoSender is the error of a state message without a sender.
var errNoSender = errors.New("the sender has no name")

// errStateTooLong is the error of a state message over maxStateMessageBytes.
var errStateTooLong = fmt.Errorf("the message has more than %d bytes", maxStateMessageBytes)

// run submits received messages to the core until the socket is closed.
func (s *stateLink) run() {
	buf := make([]byte, maxStateMessageBytes+1)
	for {
		n, from, err := s.socket.ReadFrom(buf)
		if err != nil {
			return // the socket is closed
		}
		s.protect("state message", func() { s.receive(buf[:n], from) })
	}
}

// receive submits a received message to the core, or logs why it can't be used.
func (s *stateLink) receive(raw []byte, from net.Addr) {
	var in gatewaypb.State
	var err error
	if len(raw) > maxStateMessageBytes {
		err = errStateTooLong
	} else {
		err = proto.Unmarshal(raw, &in)
	}
	if err == nil && in.GetSender().GetName() == "" {
		err = errNoSender
	}
	if err != nil {
		s.log.FrameRefused(model.InstanceID(from.String()), fmt.Errorf("not a state message: %w", err))
		return
	}
	s.submit(gateway.StateReceived{State: decodeState(&in)})
}

// send sends a message. A message that can't be sent is logged and treated as lost on
// the network.
func (s *stateLink) send(out gateway.SendState) {
	raw, err := marshalState(out.State)
	if err == nil {
		var to *net.UDPAddr
		if to, err = net.ResolveUDPAddr("udp", out.To); err == nil {
			_, err = s.socket.WriteTo(raw, to)
		}
	}
	if err != nil {
		s.log.ReadFailed("state message to "+out.To, err)
	}
}

// marshalState encodes a message. Members that exceed maxStateMessageBytes are left out, as
// the receiver refuses a longer message as a whole.
func marshalState(state gateway.StateMessage) ([]byte, error) {
	out := encodeState(state)
	raw, err := proto.Marshal(out)
	for err == nil && len(raw) > maxStateMessageBytes && len(out.Others) > 0 {
		out.Others = out.Others[:len(out.Others)-1]
		raw, err = proto.Marshal(out)
	}
	return raw, err
}

// stateAgeUnit is the unit of the ages in a sample, of crashes and of departures.
const stateAgeUnit = 100 * time.Millisecond

// encodeAge returns an age in units. It is rounded up, as an age that falls from one instance
// to the next never ends.
func encodeAge(age time.Duration) uint32 {
	return uint32(min(max(0, (age+stateAgeUnit-1)/stateAgeUnit), math.MaxUint32))
}

func encodeState(in gateway.StateMessage) *gatewaypb.State {
	out := &gatewaypb.State{Sender: encodeMember(in.Sender), Ask: in.WantsReply, AskDepartures: in.WantsDepartures}
	for _, m := range in.Members {
		out.Others = append(out.Others, encodeMember(m))
	}
	for _, e := range in.Sample {
		out.Sample = append(out.Sample, e.Hash<<8|min(encodeAge(e.Age), 255))
	}
	out.Crashes = encodeCrashes(in.Crashes)
	for _, d := range in.Departures {
		out.Departures = append(out.Departures, &gatewaypb.Departure{Target: string(d.Target), Started: d.StartedAtMillis,
			Report: d.Report, Age: encodeAge(d.Age), Leaving: d.Leaving})
	}
	return out
}

func decodeState(in *gatewaypb.State) gateway.StateMessage {
	out := gateway.StateMessage{Sender: decodeMember(in.GetSender()), WantsReply: in.GetAsk(), WantsDepartures: in.GetAskDepartures()}
	for _, m := range in.GetOthers() {
		out.Members = append(out.Members, decodeMember(m))
	}
	for _, e := range in.GetSample() {
		out.Sample = append(out.Sample, gateway.SampledInstance{Hash: e >> 8, Age: time.Duration(e&255) * stateAgeUnit})
	}
	for _, c := range in.GetCrashes() {
		out.Crashes = appendCrashes(out.Crashes, c)
	}
	for _, d := range in.GetDepartures() {
		out.Departures = append(out.Departures, gateway.Departure{Target: model.TargetID(d.GetTarget()), StartedAtMillis: d.GetStarted(),
			Report: d.GetReport(), Age: time.Duration(d.GetAge()) * stateAgeUnit, Leaving: d.GetLeaving()})
	}
	return out
}

// encodeCrashes encodes news, that of the same request as one item.
func encodeCrashes(news []gateway.CrashNews) []*gatewaypb.CrashedRequest {
	var out []*gatewaypb.CrashedRequest
	for i, n := range news {
		if i == 0 || n.Digest != news[i-1].Digest {
			out = append(out, &gatewaypb.CrashedRequest{Digest: uint64(n.Digest), Organisation: n.Organisation, Age: encodeAge(n.Age), Cleared: n.Cleared})
		}
		if !n.Cleared {
			last := out[len(out)-1]
			last.Crashes = append(last.Crashes, uint64(n.Incarnation)<<32|uint64(n.Attempt))
		}
	}
	return out
}

// appendCrashes appends the news of one request.
func appendCrashes(news []gateway.CrashNews, c *gatewaypb.CrashedRequest) []gateway.CrashNews {
	n := gateway.CrashNews{Digest: gateway.RequestDigest(c.GetDigest()), Organisation: c.GetOrganisation(),
		Cleared: c.GetCleared(), Age: time.Duration(c.GetAge()) * stateAgeUnit}
	if n.Cleared {
		return append(news, n)
	}
	for _, crash := range c.GetCrashes() {
		n.Incarnation, n.Attempt = uint32(crash>>32), uint32(crash)
		news = append(news, n)
	}
	return news
}

func encodeMember(m gateway.MemberState) *gatewaypb.Member {
	return &gatewaypb.Member{Name: string(m.Name), Address: m.Address, Place: string(m.Place), Life: m.Incarnation,
		Beat: m.Heartbeat, Configuration: m.Configuration, Revision: m.Revision, Serving: m.Serving,
		Reads: m.StoreAnswers, Capacity: m.Capacity, StoreAgeNs: int64(m.StoreAge), Era: m.Era}
}

func decodeMember(m *gatewaypb.Member) gateway.MemberState {
	return gateway.MemberState{Name: model.InstanceID(m.GetName()), Address: m.GetAddress(), Place: model.PlaceID(m.GetPlace()),
		Incarnation: m.GetLife(), Heartbeat: m.GetBeat(), Configuration: m.GetConfiguration(), Revision: m.GetRevision(), Serving: m.GetServing(),
		StoreAnswers: m.GetReads(), Capacity: m.GetCapacity(), StoreAge: time.Duration(m.GetStoreAgeNs()), Era: m.GetEra()}
}
