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
	// CPUMsPerSearch is the processor time per search sent, in milliseconds: of
	// all daemons, or of this process in the rows of PolicyBare.
	CPUMsPerSearch float64 `json:"cpu_ms_per_search"`
	// Error is the reason why the run has no result or is incomplete.
	Error string `json:"error,omitempty"`
}

// TargetTotals aggregates the counts of the search targets.
type TargetTotals struct {
	Requests int `json:"requests"`
	// BeyondNeeded is the number of requests beyond the needed requests, divided
	// by the number of needed requests: the first attempts in answered searches.
	// It is 0 if no search was answered.
	BeyondNeeded float64 `json:"beyond_needed"`
	// MaxConcurrent is the maximum number of concurrent requests at any target.
	MaxConcurrent int `json:"max_at_once"`
	Slots         int `json:"slots"` // maximum over the targets
	// MaxExcess is the maximum by which the concurrent requests of a target
	// exceeded its capacity at that time.
	MaxExcess     int `json:"max_excess"`
	Overloads     int `json:"overloads"`
	FailOvers     int `json:"fail_overs"`
	Sheds         int `json:"sheds"`
	Cancellations int `json:"cancellations"`
}

// totals aggregates the counts of the search targets. neededRequests is the
// number of first attempts in answered searches.
func totals(counts map[string]target.Counts, neededRequests int) TargetTotals {
	var t TargetTotals
	for name, c := range counts {
		if strings.HasPrefix(name, cell.BookingRoute+"-") {
			continue
		}
		t.Requests += c.Requests
		t.MaxConcurrent = max(t.MaxConcurrent, c.MaxConcurrent)
		t.MaxExcess = max(t.MaxExcess, c.MaxExcess)
		t.Slots = max(t.Slots, c.Slots)
		t.Overloads += c.Overloads
		t.FailOvers += c.FailOvers
		t.Sheds += c.Sheds
		t.Cancellations += c.Cancellations
	}
	if neededRequests > 0 {
		t.BeyondNeeded = float64(t.Requests-neededRequests) / float64(neededRequests)
	}
	return t
}
