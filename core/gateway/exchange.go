package gateway

import (
	"time"

	"galenadyke.dev/core/model"
)

// CallerHead is what the head of a caller's request says about its handling.
type CallerHead struct {
	// AttemptID is the caller's own id of this attempt.
	AttemptID string
	// Remaining is how long the caller waits, 0 if it does not say.
	Remaining time.Duration
}

// AttemptHead is what a target is told beside the caller's own headers.
type AttemptHead struct {
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Target is the only target that may run the request.
	Target model.TargetID
}

// ReplyHead is what the head of a target's answer says.
type ReplyHead struct {
	// AttemptID is the id of the request that the answer belongs to, empty if the
	// target does not say.
	AttemptID string
	// Stamp proves that the target ran the request; empty if there is none.
	Stamp string
	// NotExecuted states that the target did not run the request.
	NotExecuted bool
	Load        Load
	HasLoad     bool
	Cold        time.Duration
	HasCold     bool
}

// StoreItem is an item of the platform's store, in the platform's own form.
type StoreItem struct {
	Key     string
	Value   []byte
	Rev     uint64 // the store's revision of the last change
	Deleted bool
}

// StoreChange is what has changed in the store since an earlier revision.
// Instances pass it on to those that do not read the store.
type StoreChange struct {
	Revision uint64
	Items    []StoreItem
	// Complete says that the items replace all that is known.
	Complete bool
	// Lost says that the store does not answer the sender.
	Lost bool
	// Age is the time since the store answered, by way of all instances between.
	Age time.Duration
}
