package peer

import (
	"errors"
	"fmt"
	"math"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/node/peer/peerpb"
)

// errNoMessage is returned for a frame without a message type known to this
// release.
var errNoMessage = errors.New("frame without a known message; the sender may run a newer release")

// Encode returns the frame that carries a message. It returns an error for a
// message type that peer.proto lacks.
func Encode(message model.PeerMessage) (*peerpb.Frame, error) {
	switch m := message.(type) {
	case model.Exchange:
		return &peerpb.Frame{Message: &peerpb.Frame_Exchange{Exchange: encodeExchange(m)}}, nil
	case model.PingRequest:
		return &peerpb.Frame{Message: &peerpb.Frame_PingRequest{PingRequest: &peerpb.PingRequest{
			Round: m.Round, Subject: string(m.Subject)}}}, nil
	case model.PingReply:
		return &peerpb.Frame{Message: &peerpb.Frame_PingReply{PingReply: &peerpb.PingReply{
			Round: m.Round, Subject: string(m.Subject), Alive: m.Alive}}}, nil
	case model.ConfigAnnounce:
		return &peerpb.Frame{Message: &peerpb.Frame_ConfigAnnounce{ConfigAnnounce: &peerpb.ConfigAnnounce{
			Config: encodeConfigState(m.Config)}}}, nil
	case model.ConfigFetch:
		return &peerpb.Frame{Message: &peerpb.Frame_ConfigFetch{ConfigFetch: &peerpb.ConfigFetch{
			Have: encodeOrder(m.Have)}}}, nil
	case model.ConfigSet:
		return &peerpb.Frame{Message: &peerpb.Frame_ConfigSet{ConfigSet: &peerpb.ConfigSet{Raw: m.Raw}}}, nil
	case model.LeadRelease:
		return &peerpb.Frame{Message: &peerpb.Frame_LeadRelease{LeadRelease: &peerpb.LeadRelease{
			Targets: mapSlice(m.Targets, encodeReleased)}}}, nil
	case model.RelayRequest:
		return &peerpb.Frame{Message: &peerpb.Frame_RelayRequest{RelayRequest: &peerpb.RelayRequest{
			BookingId: m.BookingID, Snapshot: uint64(m.Snapshot), BudgetNs: nanoseconds(m.Budget),
			RequestId: m.RequestID, Body: m.Body, Trace: m.Trace, Lead: uint64(m.Lead),
			Items: mapSlice(m.Items, encodeItem)}}}, nil
	case model.RelayReply:
		return &peerpb.Frame{Message: &peerpb.Frame_RelayReply{RelayReply: &peerpb.RelayReply{
			Items: mapSlice(m.Items, encodeOutcome)}}}, nil
	case model.RelayCancel:
		return &peerpb.Frame{Message: &peerpb.Frame_RelayCancel{RelayCancel: &peerpb.RelayCancel{
			Refs: mapSlice(m.Refs, encodeRef)}}}, nil
	case model.BookForward:
		return &peerpb.Frame{Message: &peerpb.Frame_BookForward{BookForward: &peerpb.BookForward{
			Ref: encodeRef(m.Ref), Owner: string(m.Booking.Owner), OwnerIncarnation: uint64(m.Booking.Incarnation),
			Counter: m.Booking.Counter, Route: string(m.Route), BudgetNs: nanoseconds(m.Budget),
			RequestId: m.RequestID, Body: m.Body, Trace: m.Trace}}}, nil
	case model.BookOutcome:
		return &peerpb.Frame{Message: &peerpb.Frame_BookOutcome{BookOutcome: &peerpb.BookOutcome{
			Ref: encodeRef(m.Ref), Error: uint32(m.Error), Execution: uint32(m.Execution), Message: m.Message,
			Target: string(m.Target), Body: m.Body, Repeat: m.Repeat}}}, nil
	case model.BookingHandover:
		return &peerpb.Frame{Message: &peerpb.Frame_BookingHandover{BookingHandover: &peerpb.BookingHandover{
			Owner: string(m.Owner), Incarnation: uint64(m.Incarnation), First: m.First, Issued: m.Issued,
			Outcomes: mapSlice(m.Outcomes, encodeRecord)}}}, nil
	default:
		return nil, fmt.Errorf("no frame for %T; add it to peer.proto", message)
	}
}

// Decode returns the message of a frame. It returns an error if the frame has no
// known message or a value is outside the range of its type in package model.
func Decode(frame *peerpb.Frame) (model.PeerMessage, error) {
	d := &decoder{}
	message := d.message(frame)
	if d.err != nil {
		return nil, d.err
	}
	if message == nil {
		return nil, errNoMessage
	}
	return message, nil
}

// decoder converts protobuf messages and records the first error.
type decoder struct{ err error }

func (d *decoder) message(frame *peerpb.Frame) model.PeerMessage {
	switch m := frame.GetMessage().(type) {
	case *peerpb.Frame_Exchange:
		return d.exchange(m.Exchange)
	case *peerpb.Frame_PingRequest:
		return model.PingRequest{Round: m.PingRequest.GetRound(), Subject: model.InstanceID(m.PingRequest.GetSubject())}
	case *peerpb.Frame_PingReply:
		r := m.PingReply
		return model.PingReply{Round: r.GetRound(), Subject: model.InstanceID(r.GetSubject()), Alive: r.GetAlive()}
	case *peerpb.Frame_ConfigAnnounce:
		return model.ConfigAnnounce{Config: d.configState(m.ConfigAnnounce.GetConfig())}
	case *peerpb.Frame_ConfigFetch:
		return model.ConfigFetch{Have: decodeOrder(m.ConfigFetch.GetHave())}
	case *peerpb.Frame_ConfigSet:
		return model.ConfigSet{Raw: m.ConfigSet.GetRaw()}
	case *peerpb.Frame_LeadRelease:
		return model.LeadRelease{Targets: mapSlice(m.LeadRelease.GetTargets(), d.released)}
	case *peerpb.Frame_RelayRequest:
		r := m.RelayRequest
		return model.RelayRequest{BookingID: r.GetBookingId(), Snapshot: model.SnapshotVersion(r.GetSnapshot()),
			Budget: d.duration(r.GetBudgetNs()), RequestID: r.GetRequestId(), Body: r.GetBody(),
			Trace: r.GetTrace(), Lead: model.Incarnation(r.GetLead()), Items: mapSlice(r.GetItems(), decodeItem)}
	case *peerpb.Frame_RelayReply:
		return model.RelayReply{Items: mapSlice(m.RelayReply.GetItems(), d.outcome)}
	case *peerpb.Frame_RelayCancel:
		return model.RelayCancel{Refs: mapSlice(m.RelayCancel.GetRefs(), decodeRef)}
	case *peerpb.Frame_BookForward:
		f := m.BookForward
		return model.BookForward{Ref: decodeRef(f.GetRef()), Booking: model.BookingID{
			Owner: model.InstanceID(f.GetOwner()), Incarnation: model.Incarnation(f.GetOwnerIncarnation()), Counter: f.GetCounter()},
			Route: model.RouteID(f.GetRoute()), Budget: d.duration(f.GetBudgetNs()), RequestID: f.GetRequestId(),
			Body: f.GetBody(), Trace: f.GetTrace()}
	case *peerpb.Frame_BookOutcome:
		o := m.BookOutcome
		return model.BookOutcome{Ref: decodeRef(o.GetRef()), Error: d.kind(o.GetError()), Execution: d.execution(o.GetExecution()),
			Message: o.GetMessage(), Target: model.TargetID(o.GetTarget()), Body: o.GetBody(), Repeat: o.GetRepeat()}
	case *peerpb.Frame_BookingHandover:
		h := m.BookingHandover
		return model.BookingHandover{Owner: model.InstanceID(h.GetOwner()), Incarnation: model.Incarnation(h.GetIncarnation()),
			First: h.GetFirst(), Issued: h.GetIssued(), Outcomes: mapSlice(h.GetOutcomes(), d.record)}
	default:
		return nil
	}
}

func (d *decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = fmt.Errorf(format, args...)
	}
}

func (d *decoder) duration(ns int64) time.Duration {
	if ns < 0 {
		d.fail("negative duration %d ns", ns)
	}
	return time.Duration(ns)
}

func (d *decoder) kind(k uint32) model.Kind {
	if k > math.MaxUint16 {
		d.fail("error kind %d is out of range", k)
	}
	return model.Kind(k)
}

// execution rejects unknown values. Decoding one as NotRun would be a false
// statement, so a release that adds a value cannot run together with this one.
func (d *decoder) execution(e uint32) model.Execution {
	if e > uint32(model.Ran) {
		d.fail("execution %d is out of range", e)
		return model.Unknown
	}
	return model.Execution(e)
}

func (d *decoder) status(s uint32) model.MemberStatus {
	if s > uint32(model.MemberDraining) {
		d.fail("member status %d is out of range", s)
		return model.MemberStarting
	}
	return model.MemberStatus(s)
}

// count converts a number that package model holds as an int: 0 to MaxInt32.
func (d *decoder) count(n int64) int {
	if n < 0 || n > math.MaxInt32 {
		d.fail("count %d is out of range", n)
		return 0
	}
	return int(n)
}

func (d *decoder) exchange(e *peerpb.Exchange) model.Exchange {
	return model.Exchange{Round: e.GetRound(), Reply: e.GetReply(), Config: d.configState(e.GetConfig()),
		Members: mapSlice(e.GetMembers(), d.member), Seen: mapSlice(e.GetSeen(), decodeSeen),
		Targets: mapSlice(e.GetTargets(), d.targetState)}
}

func (d *decoder) configState(c *peerpb.ConfigState) model.ConfigState {
	return model.ConfigState{Order: decodeOrder(c.GetOrder()), Confirmed: c.GetConfirmed(),
		ConfirmedAge: d.duration(c.GetConfirmedAgeNs())}
}

func (d *decoder) member(m *peerpb.MemberState) model.MemberState {
	return model.MemberState{ID: model.InstanceID(m.GetId()), Incarnation: model.Incarnation(m.GetIncarnation()),
		Heartbeat: m.GetHeartbeat(), Status: d.status(m.GetStatus()), Suspected: m.GetSuspected()}
}

func (d *decoder) targetState(t *peerpb.TargetState) model.TargetState {
	return model.TargetState{Target: model.TargetID(t.GetTarget()), Origin: model.InstanceID(t.GetOrigin()),
		OriginLife: model.Incarnation(t.GetOriginLife()), Number: t.GetNumber(),
		Incarnation: model.Incarnation(t.GetIncarnation()), Level: d.count(int64(t.GetLevel())),
		Draining: t.GetDraining(), Versions: mapSlice(t.GetVersions(), d.version)}
}

func (d *decoder) version(v *peerpb.VersionReport) model.VersionReport {
	return model.VersionReport{Version: model.SnapshotVersion(v.GetVersion()), Total: d.count(int64(v.GetTotal())),
		Partitions: v.GetPartitions()}
}

func (d *decoder) released(r *peerpb.ReleasedTarget) model.ReleasedTarget {
	return model.ReleasedTarget{Target: model.TargetID(r.GetTarget()), Incarnation: model.Incarnation(r.GetIncarnation()),
		Level: d.count(int64(r.GetLevel()))}
}

func (d *decoder) outcome(o *peerpb.RelayOutcome) model.RelayOutcome {
	a := o.GetAnswer()
	return model.RelayOutcome{Ref: decodeRef(o.GetRef()), Error: d.kind(o.GetError()), Execution: d.execution(o.GetExecution()),
		Answer: model.TargetAnswer{Snapshot: model.SnapshotVersion(a.GetSnapshot()), Partitions: a.GetPartitions(),
			Truncated: a.GetTruncated(), Incarnation: model.Incarnation(a.GetIncarnation()),
			Load: model.TargetLoad{InFlight: d.count(a.GetLoad().GetInFlight()), Queued: d.count(a.GetLoad().GetQueued())},
			Body: a.GetBody()},
		QueueWait: d.duration(o.GetQueueWaitNs()), Level: d.count(int64(o.GetLevel()))}
}

func (d *decoder) record(r *peerpb.BookingRecord) model.BookingRecord {
	return model.BookingRecord{Counter: r.GetCounter(), BodyDigest: r.GetBodyDigest(), Error: d.kind(r.GetError()),
		Execution: d.execution(r.GetExecution()), Target: model.TargetID(r.GetTarget()), Body: r.GetBody()}
}

func decodeOrder(o *peerpb.ConfigOrder) model.ConfigOrder {
	return model.ConfigOrder{Generation: o.GetGeneration(), Digest: o.GetDigest()}
}

func decodeSeen(s *peerpb.SeenUpTo) model.SeenUpTo {
	return model.SeenUpTo{Origin: model.InstanceID(s.GetOrigin()), Incarnation: model.Incarnation(s.GetIncarnation()), Number: s.GetNumber()}
}

func decodeRef(r *peerpb.WorkRef) model.WorkRef {
	return model.WorkRef{Origin: model.InstanceID(r.GetOrigin()), Incarnation: model.Incarnation(r.GetIncarnation()), Seq: r.GetSeq()}
}

func decodeItem(i *peerpb.RelayItem) model.RelayItem {
	return model.RelayItem{Ref: decodeRef(i.GetRef()), Target: model.TargetID(i.GetTarget()), Hedge: i.GetHedge()}
}

func encodeExchange(e model.Exchange) *peerpb.Exchange {
	return &peerpb.Exchange{Round: e.Round, Reply: e.Reply, Config: encodeConfigState(e.Config),
		Members: mapSlice(e.Members, encodeMember), Seen: mapSlice(e.Seen, encodeSeen),
		Targets: mapSlice(e.Targets, encodeTargetState)}
}

func encodeOrder(o model.ConfigOrder) *peerpb.ConfigOrder {
	return &peerpb.ConfigOrder{Generation: o.Generation, Digest: o.Digest}
}

func encodeConfigState(c model.ConfigState) *peerpb.ConfigState {
	return &peerpb.ConfigState{Order: encodeOrder(c.Order), Confirmed: c.Confirmed, ConfirmedAgeNs: nanoseconds(c.ConfirmedAge)}
}

func encodeMember(m model.MemberState) *peerpb.MemberState {
	return &peerpb.MemberState{Id: string(m.ID), Incarnation: uint64(m.Incarnation), Heartbeat: m.Heartbeat,
		Status: uint32(m.Status), Suspected: m.Suspected}
}

func encodeSeen(s model.SeenUpTo) *peerpb.SeenUpTo {
	return &peerpb.SeenUpTo{Origin: string(s.Origin), Incarnation: uint64(s.Incarnation), Number: s.Number}
}

func encodeTargetState(t model.TargetState) *peerpb.TargetState {
	return &peerpb.TargetState{Target: string(t.Target), Origin: string(t.Origin), OriginLife: uint64(t.OriginLife),
		Number: t.Number, Incarnation: uint64(t.Incarnation), Level: uint32(t.Level), Draining: t.Draining,
		Versions: mapSlice(t.Versions, encodeVersion)}
}

func encodeVersion(v model.VersionReport) *peerpb.VersionReport {
	return &peerpb.VersionReport{Version: uint64(v.Version), Total: uint32(v.Total), Partitions: v.Partitions}
}

func encodeReleased(r model.ReleasedTarget) *peerpb.ReleasedTarget {
	return &peerpb.ReleasedTarget{Target: string(r.Target), Incarnation: uint64(r.Incarnation), Level: uint32(r.Level)}
}

func encodeRef(r model.WorkRef) *peerpb.WorkRef {
	return &peerpb.WorkRef{Origin: string(r.Origin), Incarnation: uint64(r.Incarnation), Seq: r.Seq}
}

func encodeItem(i model.RelayItem) *peerpb.RelayItem {
	return &peerpb.RelayItem{Ref: encodeRef(i.Ref), Target: string(i.Target), Hedge: i.Hedge}
}

func encodeOutcome(o model.RelayOutcome) *peerpb.RelayOutcome {
	a := &o.Answer
	return &peerpb.RelayOutcome{Ref: encodeRef(o.Ref), Error: uint32(o.Error), Execution: uint32(o.Execution),
		Answer: &peerpb.TargetAnswer{Snapshot: uint64(a.Snapshot), Partitions: a.Partitions, Truncated: a.Truncated,
			Incarnation: uint64(a.Incarnation), Body: a.Body,
			Load: &peerpb.TargetLoad{InFlight: int64(a.Load.InFlight), Queued: int64(a.Load.Queued)}},
		QueueWaitNs: nanoseconds(o.QueueWait), Level: uint32(o.Level)}
}

func encodeRecord(r model.BookingRecord) *peerpb.BookingRecord {
	return &peerpb.BookingRecord{Counter: r.Counter, BodyDigest: r.BodyDigest, Error: uint32(r.Error),
		Execution: uint32(r.Execution), Target: string(r.Target), Body: r.Body}
}

// nanoseconds encodes a duration. A negative one, such as the budget left after
// the deadline, becomes zero, because the decoder rejects negative durations.
func nanoseconds(d time.Duration) int64 { return max(0, int64(d)) }

// mapSlice converts each element. An empty slice becomes nil, because protobuf
// does not distinguish the two.
func mapSlice[A, B any](in []A, convert func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i := range in {
		out[i] = convert(in[i])
	}
	return out
}
