package target

// Counts holds the state of a target and its counters since the process
// started or the counts were last reset.
type Counts struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	// Capacity is the current number of concurrent requests that the target
	// handles without overload. It is below Slots while the target is cold.
	Capacity int `json:"bears"`
	InFlight int `json:"in_flight"`

	Requests    int `json:"requests"` // searches and bookings that arrived
	Completions int `json:"completions"`
	// SearchesByVersion is the number of searches that ran, by index version.
	SearchesByVersion map[uint64]int `json:"searches_by_version"`
	// Bookings is the number of times each booking ran, by booking ID.
	Bookings map[string]int `json:"bookings"`
	// MaxConcurrent is the maximum number of concurrent requests, running and
	// queued.
	MaxConcurrent int `json:"max_at_once"`
	// MaxExcess is the maximum number of concurrent requests above the
	// capacity at that time.
	MaxExcess     int `json:"max_excess"`
	Overloads     int `json:"overloads"`
	FailOvers     int `json:"fail_overs"`
	Sheds         int `json:"sheds"`
	WrongVersion  int `json:"wrong_version"`
	Cancellations int `json:"cancellations"`
	Expired       int `json:"expired"` // deadline passed before completion
	LostAnswers   int `json:"lost_answers"`
	Probes        int `json:"probes"`
	Connections   int `json:"connections"` // accepted since the process started, not cleared by a reset
	// RequestsByMark is the number of requests that arrived between each mark
	// and the next, by label.
	RequestsByMark map[string]int `json:"requests_by_mark"`
}

// AllCounts is the answer to a request for counts on the control endpoint.
type AllCounts struct {
	Targets []Counts `json:"targets"`
}

// Total sums one field over all targets.
func (a AllCounts) Total(field func(*Counts) int) int {
	sum := 0
	for i := range a.Targets {
		sum += field(&a.Targets[i])
	}
	return sum
}

func newCounts() Counts {
	return Counts{
		SearchesByVersion: make(map[uint64]int),
		Bookings:          make(map[string]int),
		RequestsByMark:    make(map[string]int),
	}
}
