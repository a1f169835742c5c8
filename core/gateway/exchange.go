package gateway

import (
	"fmt"
	"time"

	"galenadyke.dev/core/model"
)

// CallerHeaders holds the headers of a caller's request that concern its handling.
type CallerHeaders struct {
	// AttemptID is the caller's ID of this attempt.
	AttemptID string
	// Remaining is how long the caller waits, 0 if not stated.
	Remaining time.Duration
	// Organisation is the caller's organisation, empty if the protocol states none.
	Organisation string
}

// AttemptHeaders holds what a target is told in addition to the caller's own headers.
type AttemptHeaders struct {
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Target is the only target that may run the request.
	Target model.TargetID
}

// ReplyHeaders holds the headers of a target's answer.
type ReplyHeaders struct {
	// AttemptID is the ID of the attempt that the answer belongs to, empty if not
	// stated.
	AttemptID string
	// Stamp is the target's proof that it ran the request, empty if there is none.
	Stamp string
	// NotExecuted is set if the target states that it did not run the request.
	NotExecuted bool
	// Leaving is set if the target states that it is about to end.
	Leaving bool
	// RetryAfter is how long the target asks not to be sent anything, 0 if it does not ask.
	RetryAfter time.Duration
	Load       Load
	HasLoad    bool
	ColdFor    time.Duration
	HasCold    bool
	// RateLimit is the number of requests a second that the target accepts from all
	// instances together, valid if HasRateLimit.
	RateLimit    float64
	HasRateLimit bool
}

// StoreItem is an item of the platform's store in the platform's encoding.
type StoreItem struct {
	Key     string
	Value   []byte
	Rev     uint64 // the store's revision of the last change
	Deleted bool
}

// StorePosition orders the states of the platform's store.
type StorePosition struct {
	// Era counts how often the store has come back from an older copy, 0 if unknown. The
	// store gives out revisions again in a new era, so they are ordered only within one.
	Era      uint64
	Revision uint64
}

// Before reports whether p is an earlier state than q. If either era is unknown, only the
// revisions count.
func (p StorePosition) Before(q StorePosition) bool {
	if p.Era != q.Era && p.Era != 0 && q.Era != 0 {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// BeforeEra reports whether the store has come back from an older copy between p and q.
func (p StorePosition) BeforeEra(q StorePosition) bool { return p.Era != 0 && p.Era < q.Era }

// String returns the position as it is logged.
func (p StorePosition) String() string { return fmt.Sprintf("era %d, revision %d", p.Era, p.Revision) }

// StoreChange is the change of the store since an earlier revision. Instances that
// read the store pass it on to instances that don't.
type StoreChange struct {
	// Era and Revision are the store's position after the change.
	Era      uint64
	Revision uint64
	Items    []StoreItem
	// Complete means that the items replace everything that is known.
	Complete bool
	// Lost means that the store does not answer the sender.
	Lost bool
	// Age is how long ago the store last answered the sender, or the instance that read
	// the change from the store.
	Age time.Duration
}

// Position returns the store's position after the change.
func (c StoreChange) Position() StorePosition { return StorePosition{c.Era, c.Revision} }
