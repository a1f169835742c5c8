package gateway

import (
	"errors"
	"fmt"
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
	raw, err := proto.Marshal(encodeState(out.State))
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

// sampleAgeUnit is the unit of the ages in a sample.
const sampleAgeUnit = 100 * time.Millisecond

func encodeState(in gateway.StateMessage) *gatewaypb.State {
	out := &gatewaypb.State{Sender: encodeMember(in.Sender), Ask: in.WantsReply}
	for _, m := range in.Members {
		out.Others = append(out.Others, encodeMember(m))
	}
	for _, e := range in.Sample {
		// Rounded up, as an age that falls from one instance to the next never ends.
		age := (e.Age + sampleAgeUnit - 1) / sampleAgeUnit
		out.Sample = append(out.Sample, e.Hash<<8|uint32(min(age, 255)))
	}
	return out
}

func decodeState(in *gatewaypb.State) gateway.StateMessage {
	out := gateway.StateMessage{Sender: decodeMember(in.GetSender()), WantsReply: in.GetAsk()}
	for _, m := range in.GetOthers() {
		out.Members = append(out.Members, decodeMember(m))
	}
	for _, e := range in.GetSample() {
		out.Sample = append(out.Sample, gateway.SampledInstance{Hash: e >> 8, Age: time.Duration(e&255) * sampleAgeUnit})
	}
	return out
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
