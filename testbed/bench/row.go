package bench

import (
	"strings"

	"galenadyke.dev/core/model"
	"galenadyke.dev/ctl/load"
	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/target"
)

// Row is the result of one run.
type Row struct {
	Policy   model.Policy `json:"policy"`
	Scenario Scenario     `json:"scenario"`
	Percent  float64      `json:"percent_of_capacity"`
	Groups   int          `json:"groups"`
	Load     *load.Result `json:"load"`
	Targets  TargetTotals `json:"targets"`
	// CPUMsPerSearch is the processor time of all daemons for each search
	// that was sent, in milliseconds.
	CPUMsPerSearch float64 `json:"cpu_ms_per_search"`
	// Error tells why the run has no result, or what went wrong in it.
	Error string `json:"error,omitempty"`
}

// TargetTotals sums what the search targets counted.
type TargetTotals struct {
	Requests int `json:"requests"`
	// Beyond is the number of requests beyond the first attempts of the
	// answered searches, for each of these.
	Beyond float64 `json:"beyond_needed"`
	// MaxAtOnce is the highest number of requests at once at any target.
	MaxAtOnce int `json:"max_at_once"`
	Slots     int `json:"slots"`
	// MaxExcess is the highest number at once above what a target bore.
	MaxExcess     int `json:"max_excess"`
	Overloads     int `json:"overloads"`
	FailOvers     int `json:"fail_overs"`
	Sheds         int `json:"sheds"`
	Cancellations int `json:"cancellations"`
}

// totals sums the counts of the search targets.
func totals(counts map[string]target.Counts, needed int) TargetTotals {
	var t TargetTotals
	for name, c := range counts {
		if strings.HasPrefix(name, cell.BookingRoute+"-") {
			continue
		}
		t.Requests += c.Requests
		t.MaxAtOnce = max(t.MaxAtOnce, c.MaxAtOnce)
		t.MaxExcess = max(t.MaxExcess, c.MaxExcess)
		t.Slots = max(t.Slots, c.Slots)
		t.Overloads += c.Overloads
		t.FailOvers += c.FailOvers
		t.Sheds += c.Sheds
		t.Cancellations += c.Cancellations
	}
	if needed > 0 {
		t.Beyond = float64(t.Requests-needed) / float64(needed)
	}
	return t
}
