package target

// Counts is what a target has counted since its process started or since the
// counts were reset.
type Counts struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	// Bears is the number of requests that the target bears at present.
	Bears    int `json:"bears"`
	InFlight int `json:"in_flight"`

	Requests    int `json:"requests"` // searches and bookings that arrived
	Completions int `json:"completions"`
	// SearchesByVersion counts the searches that ran.
	SearchesByVersion map[uint64]int `json:"searches_by_version"`
	// Bookings counts for each booking id how often the booking ran.
	Bookings map[string]int `json:"bookings"`
	// MaxAtOnce is the highest number of requests, running or queued inside.
	MaxAtOnce int `json:"max_at_once"`
	// MaxExcess is the highest number at once above what the target bore.
	MaxExcess     int `json:"max_excess"`
	Overloads     int `json:"overloads"`
	FailOvers     int `json:"fail_overs"`
	Sheds         int `json:"sheds"`
	WrongVersion  int `json:"wrong_version"`
	Cancellations int `json:"cancellations"`
	Expired       int `json:"expired"` // deadline passed before the end
	LostAnswers   int `json:"lost_answers"`
	Probes        int `json:"probes"`
	Connections   int `json:"connections"` // accepted, in total
	// RequestsByMark counts the requests that arrived after each mark and
	// before the next one.
	RequestsByMark map[string]int `json:"requests_by_mark"`
}

// AllCounts is the answer of the control endpoint.
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
