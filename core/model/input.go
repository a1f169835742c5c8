package model

import (
	"time"

	"galenadyke.dev/core/objects"
)

// Input is a value that the driver passes to Engine.Step.
type Input interface{ isInput() }

// SearchCall is a search from a caller. It is answered by exactly one
// SearchAnswer.
type SearchCall struct {
	Call      CallID
	RequestID string // request id of the caller, returned to it and sent to targets
	Route     RouteID
	Budget    time.Duration // time to the deadline, from the arrival of the call
	Body      []byte
	Trace     string // W3C traceparent of the caller's span
}

// BookCall is a booking from a caller. It is answered by exactly one BookAnswer.
type BookCall struct {
	Call      CallID
	RequestID string
	Booking   BookingID
	Route     RouteID
	Budget    time.Duration
	Body      []byte
	Trace     string
}

// IssueBookingIDs requests Count unused booking ids. It is answered by exactly
// one BookingIDs.
type IssueBookingIDs struct {
	Call  CallID
	Count int
}

// CancelCall reports that the caller cancelled the call or disconnected.
type CancelCall struct{ Call CallID }

// TargetReply is the result of a SendTarget. Each SendTarget gets exactly one
// TargetReply.
type TargetReply struct {
	Work WorkID
	// Error is KindNone if the target sent a complete HTTP answer.
	Error     Kind
	Execution Execution
	Answer    TargetAnswer
	// Reset is true if the connection was refused or reset.
	Reset bool
	// Latency is measured from the write of the request to the last byte of
	// the answer.
	Latency time.Duration
}

// TargetAnswer is an answer as stated by the target itself.
type TargetAnswer struct {
	Snapshot    SnapshotVersion
	Partitions  []uint32 // partitions searched, sorted
	Truncated   bool
	Incarnation Incarnation
	Load        TargetLoad
	Body        []byte
}

// TargetLoad is the load that a target reports. It may be stale or wrong.
type TargetLoad struct {
	InFlight int // requests running, including the one being answered
	Queued   int // requests waiting at the target
}

// ProbeReply answers a ProbeTarget.
type ProbeReply struct {
	Target TargetID
	// OK is false if the probe failed; Report is then empty.
	OK     bool
	Report TargetReport
}

// TargetReport is the health report of a target.
type TargetReport struct {
	Incarnation Incarnation
	Draining    bool
	Load        TargetLoad
	Versions    []VersionReport // sorted by version
}

// VersionReport lists the partitions of an index version that a target holds.
type VersionReport struct {
	Version    SnapshotVersion
	Total      int      // number of partitions in the whole version
	Partitions []uint32 // partitions held, sorted
}

// PeerInput is a message from another instance.
type PeerInput struct {
	From        InstanceID
	Incarnation Incarnation
	Message     PeerMessage
}

// PeerDown reports that the stream to an instance broke. Messages that were sent
// on the stream may or may not have arrived.
type PeerDown struct{ Peer InstanceID }

// ConfigResult answers a ReadConfig. If OK is true and Set is nil, either the
// configuration has not changed or the value read failed validation.
type ConfigResult struct {
	OK    bool
	Index uint64 // to be passed to the next ReadConfig
	// Raw is the value as read, which is forwarded to peers unchanged. Set is
	// its parsed and validated form.
	Raw []byte
	Set *objects.Set
}

// PeerConfig is a configuration set that a peer sent and that passed validation.
// The driver produces it from a ConfigSet message.
type PeerConfig struct {
	From InstanceID
	Raw  []byte
	Set  *objects.Set
}

// InstanceList is the list of instances from the platform.
type InstanceList struct {
	OK        bool // false if the read failed; Instances is then empty
	Instances []InstanceInfo
}

// InstanceInfo is one entry of an InstanceList.
type InstanceInfo struct {
	ID      InstanceID
	Address string // IP address and port of the gRPC listener
	Place   PlaceID
	Leaving bool // whether the platform has marked the instance as leaving
}

// StatusCall requests the state of the instance. It is answered by exactly one
// Status.
type StatusCall struct{ Call CallID }

// Shutdown requests a graceful stop. The output Stopped reports that the stop is
// complete.
type Shutdown struct{}

func (SearchCall) isInput()      {}
func (BookCall) isInput()        {}
func (IssueBookingIDs) isInput() {}
func (CancelCall) isInput()      {}
func (TargetReply) isInput()     {}
func (ProbeReply) isInput()      {}
func (PeerInput) isInput()       {}
func (PeerDown) isInput()        {}
func (ConfigResult) isInput()    {}
func (PeerConfig) isInput()      {}
func (InstanceList) isInput()    {}
func (StatusCall) isInput()      {}
func (Shutdown) isInput()        {}
