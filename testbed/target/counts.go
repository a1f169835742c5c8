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
	// InFlight is the number of requests that run or wait for a slot. The load
	// in answers and health reports counts the two separately.
	InFlight int `json:"in_flight"`

	Requests    int `json:"requests"`    // searches and bookings that arrived
	Completions int `json:"completions"` // requests that ran to the end, even if the answer was dropped
	// SearchesByVersion is the number of searches that started to run, by index
	// version.
	SearchesByVersion map[uint64]int `json:"searches_by_version"`
	// Bookings is the number of times each booking started to run, by booking
	// ID.
	Bookings map[string]int `json:"bookings"`
	// MaxConcurrent is the maximum number of concurrent requests, running and
	// queued.
	MaxConcurrent int `json:"max_at_once"`
	// MaxExcess is the maximum by which the number of concurrent requests,
	// running and queued, exceeded the capacity at that time.
	MaxExcess     int `json:"max_excess"`
	Overloads     int `json:"overloads"`     // admitted requests above the capacity of a cold target
	FailOvers     int `json:"fail_overs"`    // restarts because of overloads
	Crashes       int `json:"crashes"`       // restarts because of Config.CrashBody
	Sheds         int `json:"sheds"`         // requests refused because the queue was full
	WrongVersion  int `json:"wrong_version"` // searches refused because the target does not hold their index version
	Cancellations int `json:"cancellations"`
	Expired       int `json:"expired"`      // requests whose deadline passed before completion
	LostAnswers   int `json:"lost_answers"` // answers dropped because of Change.LoseAnswers
	Probes        int `json:"probes"`       // health reports sent
	Connections   int `json:"connections"`  // connections accepted since the process started; a reset does not clear this count
	// RequestsByMark is the number of requests that arrived between each mark
	// and the next, by the label of the former. Requests before the first mark
	// have the empty label.
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
