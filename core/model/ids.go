package model

import (
	"fmt"
	"strconv"
	"strings"
)

// InstanceID is the name of an instance, from its settings.
type InstanceID string

// TargetID is the name of a published target.
type TargetID string

// GroupID is the name of a published target group.
type GroupID string

// RouteID is the name of a published route.
type RouteID string

// PlaceID is the name of a published place, that is, a data centre.
type PlaceID string

// Incarnation numbers the process starts of an instance or a target. Each
// restart has a higher number than the run before it.
type Incarnation uint64

// SnapshotVersion is a version of the index. Newer versions have higher numbers.
type SnapshotVersion uint64

// CallID identifies a call between the driver and the core of one process.
type CallID uint64

// WorkID identifies one unit of work for one target. It is unique within the
// process that sends the work to the target.
type WorkID uint64

// WorkRef identifies one unit of work in messages between instances. Origin and
// Incarnation name the process that created it, so that it stays unique across
// restarts.
type WorkRef struct {
	Origin      InstanceID
	Incarnation Incarnation
	Seq         uint64
}

// BookingID identifies a booking and names its owner: the only incarnation of
// the only instance that may run it.
type BookingID struct {
	Owner       InstanceID
	Incarnation Incarnation
	Counter     uint64
}

// String returns the form <instance>.<incarnation>.<counter>.
func (b BookingID) String() string {
	return fmt.Sprintf("%s.%d.%d", b.Owner, b.Incarnation, b.Counter)
}

// ParseBookingID parses the form that String returns. The instance name may
// contain dots. The error is an *Error of kind KindBadBookingID.
func ParseBookingID(s string) (BookingID, error) {
	rest, counterText, ok := cutLast(s, '.')
	if !ok {
		return BookingID{}, badBookingID(s)
	}
	owner, incarnationText, ok := cutLast(rest, '.')
	if !ok || owner == "" {
		return BookingID{}, badBookingID(s)
	}
	counter, err := strconv.ParseUint(counterText, 10, 64)
	if err != nil {
		return BookingID{}, badBookingID(s)
	}
	incarnation, err := strconv.ParseUint(incarnationText, 10, 64)
	if err != nil {
		return BookingID{}, badBookingID(s)
	}
	id := BookingID{Owner: InstanceID(owner), Incarnation: Incarnation(incarnation), Counter: counter}
	if id.String() != s {
		return BookingID{}, badBookingID(s)
	}
	return id, nil
}

// cutLast slices s around the last sep, like strings.Cut around the first.
func cutLast(s string, sep byte) (before, after string, found bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

func badBookingID(s string) error {
	return &Error{
		Kind:      KindBadBookingID,
		Execution: NotRun,
		Message:   fmt.Sprintf("%q is not a booking id; get one with POST /v1/booking-ids", s),
	}
}
