package client

import "fmt"

// Execution says whether a request ran, as far as is known.
type Execution string

// The values of Execution.
const (
	NotRun  Execution = "not_run" // the request had no effect; it is safe to repeat
	Ran     Execution = "ran"
	Unknown Execution = "unknown" // may have run
)

// KindTransport is the Kind of an error that did not come from an instance: the
// call could not be sent, or its answer could not be read.
const KindTransport = "Transport"

// Error is a failed call.
type Error struct {
	// ID and Kind identify the error, for example GD-204 and Overloaded. ID is
	// empty for KindTransport.
	ID        string    `json:"id,omitempty"`
	Kind      string    `json:"kind"`
	Execution Execution `json:"execution"`
	// Message says what is wrong and what to do about it.
	Message string `json:"message"`
	// RequestID is the request id that the instance returned with the error. For
	// KindTransport it is the id that the call was given. It may be empty.
	RequestID string `json:"request_id,omitempty"`
}

func (e *Error) Error() string {
	id := e.Kind
	if e.ID != "" {
		id = e.ID + " " + e.Kind
	}
	return fmt.Sprintf("%s (%s): %s", id, e.Execution, e.Message)
}
