package model

import "time"

// Output is a value that Engine.Tick returns for the driver to carry out.
type Output interface{ isOutput() }

// SendTarget sends one unit of work to a target. The driver checks Deadline
// on the Boot clock immediately before the write and replies NotRun if it has
// passed. A booking is written at most once.
type SendTarget struct {
	Work      WorkID
	Target    TargetID
	Address   string
	BookingID string          // empty for a search
	Snapshot  SnapshotVersion // zero for a booking
	Deadline  time.Duration   // on Boot
	RequestID string
	Body      []byte
	Trace     string
	Hedge     bool // for the span's attributes only
}

// CancelTarget cancels a SendTarget. Its TargetReply still follows.
type CancelTarget struct{ Work WorkID }

// ProbeTarget reads a target's health report.
type ProbeTarget struct {
	Target  TargetID
	Address string
}

// SendPeer sends a message to another instance. Messages to one peer stay in
// order; a broken stream gives PeerDown.
type SendPeer struct {
	To      InstanceID
	Address string
	Message PeerMessage
}

// ReadConfig reads or watches the configuration service. The driver answers
// with one ConfigResult, within Wait plus its own timeout.
type ReadConfig struct {
	Index uint64        // zero: read at once
	Wait  time.Duration // longest watch
}

// SearchAnswer ends a SearchCall.
type SearchAnswer struct {
	Call CallID
	// Error is nil if at least one group answered.
	Error    *Error
	Snapshot SnapshotVersion
	// Searched and Total are the partitions of Snapshot. Coverage is
	// Searched/Total.
	Searched int
	Total    int
	Missing  []GroupID // groups without a valid answer, sorted
	Parts    []AnswerPart
	Stats    CallStats
}

// AnswerPart is the valid answer of one group.
type AnswerPart struct {
	Group  GroupID
	Target TargetID
	Body   []byte
}

// CallStats counts what a call cost.
type CallStats struct {
	SubRequests int // first attempts
	Hedges      int
	Retries     int
	Restarts    int
}

// BookAnswer ends a BookCall. With a nil Error the booking ran and Body is
// the target's answer.
type BookAnswer struct {
	Call    CallID
	Error   *Error
	Booking BookingID
	Target  TargetID
	Body    []byte
	Repeat  bool // outcome of an earlier call with the same id
}

// BookingIDs ends an IssueBookingIDs.
type BookingIDs struct {
	Call  CallID
	Error *Error
	IDs   []BookingID
	// Valid is the time for which the ids can be used.
	Valid time.Duration
}

// Ready says whether the balancer should send calls here.
type Ready struct {
	Ready  bool
	Reason string
}

// Event is a state change for the log.
type Event struct {
	Name    string // stable, for example ConfigAccepted
	Subject string // the object that changed
	Before  string
	After   string
	Warning bool
}

// Status ends a StatusCall.
type Status struct {
	Call      CallID
	Readiness Ready
	Config    ConfigState
	Members   []MemberState  // sorted by id, the instance itself included
	Targets   []TargetStatus // sorted by name
}

// TargetStatus is one target of a Status.
type TargetStatus struct {
	Target      TargetID
	Group       GroupID
	Lead        InstanceID
	Level       int
	Slots       int
	Draining    bool // set to drain, or draining by its own report
	Out         bool // its place is taken out
	Incarnation Incarnation
}

// Stopped says that the graceful stop is complete.
type Stopped struct{}

func (SendTarget) isOutput()   {}
func (CancelTarget) isOutput() {}
func (ProbeTarget) isOutput()  {}
func (SendPeer) isOutput()     {}
func (ReadConfig) isOutput()   {}
func (SearchAnswer) isOutput() {}
func (BookAnswer) isOutput()   {}
func (BookingIDs) isOutput()   {}
func (Ready) isOutput()        {}
func (Event) isOutput()        {}
func (Status) isOutput()       {}
func (Stopped) isOutput()      {}
