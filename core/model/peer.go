package model

import "time"

// PeerMessage is a message between two instances.
type PeerMessage interface{ isPeerMessage() }

// MemberStatus is the lifecycle state that an instance announces.
type MemberStatus uint8

// The values of MemberStatus. Only a serving member can lead targets.
const (
	MemberStarting MemberStatus = iota
	MemberServing
	MemberDraining
)

// MemberState is what an instance knows about a member.
type MemberState struct {
	ID          InstanceID
	Incarnation Incarnation
	Heartbeat   uint64 // raised only by the member itself
	Status      MemberStatus
	Suspected   bool // whether the sender of the message suspects the member or has excluded it
}

// ConfigOrder is the position of a configuration set in the total order of sets:
// by Generation, then by Digest.
type ConfigOrder struct {
	Generation uint64
	Digest     string
}

// ConfigState names the set that an instance holds, and says how recently it was
// confirmed.
type ConfigState struct {
	Order ConfigOrder
	// Confirmed is false if the instance has never had a confirmation.
	Confirmed    bool
	ConfirmedAge time.Duration
}

// TargetState is the state of a target as published by its lead.
type TargetState struct {
	Target      TargetID
	Origin      InstanceID  // the lead that published it
	OriginLife  Incarnation // incarnation of Origin
	Number      uint64      // publication number; exceeds every number that Origin had seen before
	Incarnation Incarnation // of the target
	Level       int         // warm-up level, 0 if the target is down
	Draining    bool
	Versions    []VersionReport
}

// SeenUpTo says that the sender knows all publications of one incarnation of
// Origin up to Number.
type SeenUpTo struct {
	Origin      InstanceID
	Incarnation Incarnation
	Number      uint64
}

// Exchange is the request or the reply of a state exchange. A reply has Reply set
// and the Round of the request.
type Exchange struct {
	Round   uint64
	Reply   bool
	Config  ConfigState
	Members []MemberState
	// Seen is sorted by origin. In a request it lists the origins whose
	// publications are requested, which may be only some of the fleet. In a
	// reply it gives, for each origin, the number up to which the receiver's
	// knowledge is complete once it has applied the reply.
	Seen    []SeenUpTo
	Targets []TargetState // states that the receiver is believed to lack
}

// PingRequest asks the receiver to ping the member Subject.
type PingRequest struct {
	Round   uint64
	Subject InstanceID
}

// PingReply says whether the member Subject answered the ping.
type PingReply struct {
	Round   uint64
	Subject InstanceID
	Alive   bool
}

// ConfigAnnounce announces that the sender has accepted a set.
type ConfigAnnounce struct{ Config ConfigState }

// ConfigFetch requests the set in force at the receiver, if it is newer than Have.
type ConfigFetch struct{ Have ConfigOrder }

// ConfigSet carries a set. The receiving peer server validates the set; the core
// gets a valid set as PeerConfig.
type ConfigSet struct{ Raw []byte }

// LeadRelease tells the new lead of targets that the former lead has no more work
// there.
type LeadRelease struct{ Targets []ReleasedTarget }

// ReleasedTarget is one target of a LeadRelease, with its incarnation and warm-up
// level as known to the sender.
type ReleasedTarget struct {
	Target      TargetID
	Incarnation Incarnation
	Level       int
}

// RelayRequest carries the work of one call for targets that the receiver leads.
type RelayRequest struct {
	// Lead is the incarnation of the receiver that the request is meant for,
	// zero if the sender doesn't know it. A different incarnation answers a
	// booking with Unknown, because it cannot tell whether its predecessor has
	// run the booking.
	Lead      Incarnation
	BookingID string          // empty for a search
	Snapshot  SnapshotVersion // zero for a booking
	Budget    time.Duration   // time left to the deadline when sent
	RequestID string
	Body      []byte
	Trace     string
	Items     []RelayItem
}

// RelayItem is the work for one target.
type RelayItem struct {
	Ref    WorkRef
	Target TargetID
	Hedge  bool
}

// RelayReply carries the outcome of one or more items.
type RelayReply struct{ Items []RelayOutcome }

// RelayOutcome is the outcome of one item.
type RelayOutcome struct {
	Ref       WorkRef
	Error     Kind
	Execution Execution
	Answer    TargetAnswer
	// QueueWait is the lead's current estimate of the queueing time of new work.
	QueueWait time.Duration
	Level     int // current warm-up level of the target
}

// RelayCancel cancels items. Each item still gets a RelayOutcome.
type RelayCancel struct{ Refs []WorkRef }

// BookForward forwards a booking to the owner of its id.
type BookForward struct {
	Ref       WorkRef
	Booking   BookingID
	Route     RouteID
	Budget    time.Duration
	RequestID string
	Body      []byte
	Trace     string
}

// BookOutcome answers a BookForward.
type BookOutcome struct {
	Ref       WorkRef
	Error     Kind
	Execution Execution
	Message   string
	Target    TargetID
	Body      []byte
	Repeat    bool // see BookAnswer.Repeat
}

// BookingHandover passes the booking outcomes of a stopping owner to its
// successor. Ids from First to Issued, both included, that Outcomes does not list
// were never run. A long handover is split into several messages, each with its own
// range. Whether ids outside all ranges were used is not known.
type BookingHandover struct {
	Owner       InstanceID
	Incarnation Incarnation
	First       uint64
	Issued      uint64
	Outcomes    []BookingRecord
}

// BookingRecord is the outcome of one used booking id.
type BookingRecord struct {
	Counter    uint64
	BodyDigest uint64
	Error      Kind
	Execution  Execution
	Target     TargetID
	Body       []byte
}

func (Exchange) isPeerMessage()        {}
func (PingRequest) isPeerMessage()     {}
func (PingReply) isPeerMessage()       {}
func (ConfigAnnounce) isPeerMessage()  {}
func (ConfigFetch) isPeerMessage()     {}
func (ConfigSet) isPeerMessage()       {}
func (LeadRelease) isPeerMessage()     {}
func (RelayRequest) isPeerMessage()    {}
func (RelayReply) isPeerMessage()      {}
func (RelayCancel) isPeerMessage()     {}
func (BookForward) isPeerMessage()     {}
func (BookOutcome) isPeerMessage()     {}
func (BookingHandover) isPeerMessage() {}
