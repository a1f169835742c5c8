package model

import "time"

// Output is a value that Engine.Tick returns for the driver to carry out.
type Output interface{ isOutput() }

// SendTarget sends one unit of work to a target. The driver checks Deadline
// immediately before it writes the request. If the deadline has passed, it replies
// with NotRun instead. It writes a booking at most once.
type SendTarget struct {
	Work      WorkID
	Target    TargetID
	Address   string
	BookingID string          // empty for a search
	Snapshot  SnapshotVersion // zero for a booking
	Deadline  time.Duration   // on the Boot clock
	RequestID string
	Body      []byte
	Trace     string
	Hedge     bool // used only as a span attribute
}

// CancelTarget cancels a SendTarget. Its TargetReply still follows.
type CancelTarget struct{ Work WorkID }

// ProbeTarget reads the health report of a target. It is answered by exactly one
// ProbeReply.
type ProbeTarget struct {
	Target  TargetID
	Address string
}

// SendPeer sends a message to another instance. Messages to one peer arrive in
// order; a broken stream is reported as PeerDown.
type SendPeer struct {
	To      InstanceID
	Address string
	Message PeerMessage
}

// ReadConfig reads or watches the configuration service. It is answered by exactly
// one ConfigResult, within Wait plus the driver's own timeout.
type ReadConfig struct {
	Index uint64        // index last read; zero to read without waiting for a change
	Wait  time.Duration // longest time to wait for a change
}

// SearchAnswer answers a SearchCall.
type SearchAnswer struct {
	Call CallID
	// Error is nil if at least one group answered.
	Error    *Error
	Snapshot SnapshotVersion
	// Searched and Total count the partitions of Snapshot that were searched and
	// all of them. The coverage is Searched/Total.
	Searched int
	Total    int
	Missing  []GroupID // target groups without a valid answer, sorted
	Parts    []AnswerPart
	Stats    CallStats
}

// AnswerPart is the valid answer of one target group.
type AnswerPart struct {
	Group  GroupID
	Target TargetID
	Body   []byte
}

// CallStats counts the sub-requests that a call caused.
type CallStats struct {
	SubRequests int // first attempts
	Hedges      int
	Retries     int
	Restarts    int // restarts of the whole search with a newer index version
}

// BookAnswer answers a BookCall. If Error is nil, the booking ran and Body is the
// answer of the target.
type BookAnswer struct {
	Call    CallID
	Error   *Error
	Booking BookingID
	Target  TargetID
	Body    []byte
	Repeat  bool // the outcome is that of an earlier call with the same id
}

// BookingIDs answers an IssueBookingIDs.
type BookingIDs struct {
	Call  CallID
	Error *Error
	IDs   []BookingID
	// Valid is how long the ids can be used.
	Valid time.Duration
}

// Ready says whether the balancer should send calls to this instance.
type Ready struct {
	Ready  bool
	Reason string
}

// Event is a state change for the log.
type Event struct {
	Name    string // stable identifier, for example ConfigAccepted
	Subject string // the object that changed
	Before  string
	After   string
	Warning bool
}

// Status answers a StatusCall.
type Status struct {
	Call      CallID
	Readiness Ready
	Config    ConfigState
	Members   []MemberState  // sorted by id, including the instance itself
	Targets   []TargetStatus // sorted by name
}

// TargetStatus is the state of one target in a Status.
type TargetStatus struct {
	Target      TargetID
	Group       GroupID
	Lead        InstanceID
	Level       int
	Slots       int
	Draining    bool // drained by the configuration or by its own report
	Out         bool // the target's place is out of service
	Incarnation Incarnation
}

// Stopped reports that the graceful stop is complete.
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
