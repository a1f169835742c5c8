package model

import "time"

// PeerMessage is a message between two instances.
type PeerMessage interface{ isPeerMessage() }

// MemberStatus is the announced state of an instance.
type MemberStatus uint8

// The announced states. Only a serving member can lead targets.
const (
	MemberStarting MemberStatus = iota
	MemberServing
	MemberDraining
)

// MemberState is what an instance knows of a member.
type MemberState struct {
	ID          InstanceID
	Incarnation Incarnation
	Heartbeat   uint64 // raised by the member itself only
	Status      MemberStatus
	Suspected   bool // by the sender of the message
}

// ConfigOrder is the place of a set in the total order of sets.
type ConfigOrder struct {
	Generation uint64
	Digest     string
}

// ConfigState is what an instance holds and how recently it was confirmed.
type ConfigState struct {
	Order ConfigOrder
	// Confirmed is false if the sender has never had a confirmation.
	Confirmed    bool
	ConfirmedAge time.Duration
}

// TargetState is a target's state as published by its lead.
type TargetState struct {
	Target      TargetID
	Origin      InstanceID // the lead that published it
	OriginLife  Incarnation
	Number      uint64 // counts the publications of one origin life
	Incarnation Incarnation
	Level       int // warm level, 0 if down
	Draining    bool
	Versions    []VersionReport
}

// SeenUpTo says that all publications of an origin life up to Number are known.
type SeenUpTo struct {
	Origin      InstanceID
	Incarnation Incarnation
	Number      uint64
}

// Exchange is one half of a state exchange. The receiver answers a request
// with an Exchange that has Reply set and the same Round.
type Exchange struct {
	Round   uint64
	Reply   bool
	Config  ConfigState
	Members []MemberState
	// Seen, sorted by origin, names in a request the origins that are asked
	// for, which can be a part of the fleet. In a reply it says up to which
	// number the reply completes an origin.
	Seen    []SeenUpTo
	Targets []TargetState // that the receiver lacks, as far as known
}

// PingRequest asks the receiver to ping another member.
type PingRequest struct {
	Round   uint64
	Subject InstanceID
}

// PingReply says whether the member answered.
type PingReply struct {
	Round   uint64
	Subject InstanceID
	Alive   bool
}

// ConfigAnnounce says that the sender has accepted a set.
type ConfigAnnounce struct{ Config ConfigState }

// ConfigFetch asks for the set in force, if it is newer than Have.
type ConfigFetch struct{ Have ConfigOrder }

// ConfigSet carries a set. The receiver's driver checks it and passes it to
// the core as PeerConfig.
type ConfigSet struct{ Raw []byte }

// LeadRelease hands targets over to the new lead.
type LeadRelease struct{ Targets []ReleasedTarget }

// ReleasedTarget is one target of a LeadRelease.
type ReleasedTarget struct {
	Target      TargetID
	Incarnation Incarnation
	Level       int
}

// RelayRequest carries the work of one call for all targets that the receiver
// leads.
type RelayRequest struct {
	// Lead is the incarnation of the receiver that the sender means, zero if
	// it is not known. Another one answers a booking with "unknown": it
	// cannot tell whether its predecessor has run it.
	Lead      Incarnation
	BookingID string          // empty for a search
	Snapshot  SnapshotVersion // zero for a booking
	Budget    time.Duration   // remaining at the time of sending
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
	// QueueWait is the lead's present estimate of the wait for new work.
	QueueWait time.Duration
	Level     int
}

// RelayCancel cancels items. Each still gets a RelayOutcome.
type RelayCancel struct{ Refs []WorkRef }

// BookForward passes a booking to the owner of its id.
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
	Repeat    bool
}

// BookingHandover gives the outcomes of a stopping owner to a successor. Ids
// from First to Issued that are not listed were never run. A long handover is
// cut into messages with ranges of their own; the use of ids outside all
// ranges is not known.
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
