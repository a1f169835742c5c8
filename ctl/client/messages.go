package client

import "encoding/json"

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Route string `json:"route"`
	// Query is any JSON value.
	Query      json.RawMessage `json:"query"`
	DeadlineMS int64           `json:"deadline_ms"`
}

// SearchAnswer is the answer to a search.
type SearchAnswer struct {
	RequestID string       `json:"request_id"`
	Snapshot  uint64       `json:"snapshot"`
	Coverage  Coverage     `json:"coverage"`
	Parts     []SearchPart `json:"parts"`
	Stats     SearchStats  `json:"stats"`
	ElapsedMS float64      `json:"elapsed_ms"`
}

// Coverage counts the searched partitions and all partitions of the snapshot.
type Coverage struct {
	Searched int      `json:"searched"`
	Total    int      `json:"total"`
	Fraction float64  `json:"fraction"` // 0 to 1
	Missing  []string `json:"missing"`  // groups without an answer
}

// SearchPart is the answer from one group.
type SearchPart struct {
	Group  string          `json:"group"`
	Target string          `json:"target"`
	Result json.RawMessage `json:"result"`
}

// SearchStats counts the sub-requests that a search needed, and the hedges,
// retries and restarts beyond them.
type SearchStats struct {
	SubRequests int `json:"sub_requests"`
	Hedges      int `json:"hedges"`
	Retries     int `json:"retries"`
	Restarts    int `json:"restarts"`
}

// BookRequest is the body of POST /v1/book.
type BookRequest struct {
	Route     string `json:"route"`
	BookingID string `json:"booking_id"`
	// Booking is any JSON value.
	Booking    json.RawMessage `json:"booking"`
	DeadlineMS int64           `json:"deadline_ms"`
}

// BookAnswer is the answer to a booking that ran.
type BookAnswer struct {
	RequestID string    `json:"request_id"`
	BookingID string    `json:"booking_id"`
	Execution Execution `json:"execution"`
	Target    string    `json:"target"`
	// Repeat is true if the outcome is that of an earlier call with the same
	// booking id.
	Repeat    bool            `json:"repeat"`
	Result    json.RawMessage `json:"result"`
	ElapsedMS float64         `json:"elapsed_ms"`
}

// bookingIDsRequest is the body of POST /v1/booking-ids.
type bookingIDsRequest struct {
	Count int `json:"count"`
}

// BookingIDs is a list of unused booking ids.
type BookingIDs struct {
	IDs     []string `json:"booking_ids"`
	ValidMS int64    `json:"valid_ms"`
}

// Status is the answer to GET /v1/status.
type Status struct {
	Instance       string         `json:"instance"`
	Incarnation    uint64         `json:"incarnation"`
	Place          string         `json:"place"`
	Ready          bool           `json:"ready"`
	Reason         string         `json:"reason"`
	Generation     uint64         `json:"generation"`
	Digest         string         `json:"digest"`
	ConfirmedAgeMS float64        `json:"confirmed_age_ms"`
	Members        []MemberStatus `json:"members"`
	Targets        []TargetStatus `json:"targets"`
}

// MemberStatus is a member of the tier as seen by one instance.
type MemberStatus struct {
	ID        string `json:"id"`
	Status    string `json:"status"`
	Suspected bool   `json:"suspected"`
}

// TargetStatus is a target as seen by one instance.
type TargetStatus struct {
	Name        string `json:"name"`
	Group       string `json:"group"`
	Lead        string `json:"lead"`
	Level       int    `json:"level"`
	Slots       int    `json:"slots"`
	Draining    bool   `json:"draining"`
	Out         bool   `json:"out"`
	Incarnation uint64 `json:"incarnation"`
}

// errorAnswer is the body of an answer whose HTTP status is not 200.
type errorAnswer struct {
	RequestID string `json:"request_id"`
	Error     Error  `json:"error"`
}
