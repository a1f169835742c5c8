package model

import (
	"time"

	"galenadyke.dev/core/objects"
)

// Input is a value that the driver passes to Engine.Step.
type Input interface{ isInput() }

// SearchCall is a search from a caller.
type SearchCall struct {
	Call      CallID
	RequestID string // caller's request id, echoed and passed on
	Route     RouteID
	Budget    time.Duration // from the arrival of the call
	Body      []byte
	Trace     string // W3C traceparent of the caller's span
}

// BookCall is a booking from a caller.
type BookCall struct {
	Call      CallID
	RequestID string
	Booking   BookingID
	Route     RouteID
	Budget    time.Duration
	Body      []byte
	Trace     string
}

// IssueBookingIDs asks for unused booking ids.
type IssueBookingIDs struct {
	Call  CallID
	Count int
}

// CancelCall says that the caller has gone.
type CancelCall struct{ Call CallID }

// TargetReply ends a SendTarget. Exactly one arrives for each SendTarget.
type TargetReply struct {
	Work WorkID
	// Error is KindNone for a complete HTTP answer of the target.
	Error     Kind
	Execution Execution
	Answer    TargetAnswer
	// Reset says that the connection was refused or reset.
	Reset bool
	// Latency is measured from the write of the request to the last byte of
	// the answer.
	Latency time.Duration
}

// TargetAnswer is what a target states in its answer.
type TargetAnswer struct {
	Snapshot    SnapshotVersion
	Partitions  []uint32 // partitions searched, sorted
	Truncated   bool
	Incarnation Incarnation
	Load        TargetLoad
	Body        []byte
}

// TargetLoad is the load that a target reports. It may lag or mislead.
type TargetLoad struct {
	InFlight int // requests running, the one answered included
	Queued   int
}

// ProbeReply ends a ProbeTarget.
type ProbeReply struct {
	Target TargetID
	// OK is false if the probe failed; Report is then empty.
	OK     bool
	Report TargetReport
}

// TargetReport is a target's health report.
type TargetReport struct {
	Incarnation Incarnation
	Draining    bool
	Load        TargetLoad
	Versions    []VersionReport // sorted by version
}

// VersionReport says which part of an index version a target holds.
type VersionReport struct {
	Version    SnapshotVersion
	Total      int      // partitions of the whole version
	Partitions []uint32 // partitions held, sorted
}

// PeerInput is a message from another instance.
type PeerInput struct {
	From        InstanceID
	Incarnation Incarnation
	Message     PeerMessage
}

// PeerDown says that the stream to an instance broke: messages sent before
// may or may not have arrived.
type PeerDown struct{ Peer InstanceID }

// ConfigResult ends a ReadConfig. With OK and a nil Set the service answered
// that nothing has changed, or that the value did not pass the check.
type ConfigResult struct {
	OK    bool
	Index uint64 // pass to the next ReadConfig
	// Raw is the value as read, passed on to peers without change. Set is its
	// checked form.
	Raw []byte
	Set *objects.Set
}

// PeerConfig is a set that came from a peer and has passed the check. The
// driver produces it from a ConfigSet message.
type PeerConfig struct {
	From InstanceID
	Raw  []byte
	Set  *objects.Set
}

// InstanceList is the platform's list of instances.
type InstanceList struct {
	OK        bool // false: the read failed and Instances is empty
	Instances []InstanceInfo
}

// InstanceInfo is one entry of the platform's list.
type InstanceInfo struct {
	ID      InstanceID
	Address string // IP address and port of the gRPC listener
	Place   PlaceID
	Leaving bool
}

// StatusCall asks for the state of the instance.
type StatusCall struct{ Call CallID }

// Shutdown asks for a graceful stop.
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
