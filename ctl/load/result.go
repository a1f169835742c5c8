package load

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
)

// Result is the result of a run. Latencies are in milliseconds from the
// scheduled arrival.
type Result struct {
	Rate     float64       `json:"rate"`
	Seconds  float64       `json:"seconds"`
	Seed     uint64        `json:"seed"`
	Searches SearchCounts  `json:"searches"`
	Bookings BookingCounts `json:"bookings"`
	// Refused counts the calls that the tier answered with an error.
	Refused int `json:"refused"`
	// Failed counts the calls that got no valid answer from the tier.
	Failed int `json:"failed"`
	// Dropped counts the calls that were not sent because Config.MaxInFlight
	// was reached.
	Dropped int `json:"dropped"`
	// Latency covers the answered searches, with full coverage or not.
	Latency        Quantiles `json:"latency_ms"`
	RefusalLatency Quantiles `json:"refusal_latency_ms"`
	Refusals       []Refusal `json:"refusals"`
	Failures       []Failure `json:"failures"`
	Extra          ExtraLoad `json:"extra"`
	Timeline       []Second  `json:"timeline"`
}

// SearchCounts counts searches.
type SearchCounts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Complete int `json:"complete"` // answered with full coverage
	// MeanCoverage and MinCoverage cover the answered searches, 0 to 1.
	MeanCoverage float64 `json:"mean_coverage"`
	MinCoverage  float64 `json:"min_coverage"`
}

// BookingCounts counts bookings and the findings of the check against the targets.
type BookingCounts struct {
	Sent          int       `json:"sent"`
	Ran           int       `json:"ran"`
	NotRun        int       `json:"not_run"`
	Unknown       int       `json:"unknown"`
	Latency       Quantiles `json:"latency_ms"` // of the bookings that ran
	Checked       bool      `json:"checked"`
	RanTwice      []string  `json:"ran_twice"`
	NotRunYetRan  []string  `json:"answered_not_run_yet_ran"`
	RanYetNotRun  []string  `json:"answered_ran_yet_did_not"`
	UnknownYetRan int       `json:"answered_unknown_and_ran"`
}

// WrongCount returns the number of bookings that were answered wrongly or ran
// more than once.
func (b BookingCounts) WrongCount() int {
	return len(b.RanTwice) + len(b.NotRunYetRan) + len(b.RanYetNotRun)
}

// Quantiles holds the number of latencies and their quantiles in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// Refusal counts the returned errors that share an id, a kind and an execution.
type Refusal struct {
	ID        string `json:"id"`
	Kind      string `json:"kind"`
	Execution string `json:"execution"`
	Count     int    `json:"count"`
}

// Failure counts the calls that failed for one cause.
type Failure struct {
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// ExtraLoad counts the sub-requests that the searches needed, and the hedges,
// retries and restarts that the tier added.
type ExtraLoad struct {
	SubRequests int     `json:"sub_requests"`
	Hedges      int     `json:"hedges"`
	Retries     int     `json:"retries"`
	Restarts    int     `json:"restarts"`
	HedgeShare  float64 `json:"hedges_per_sub_request"`
	RetryShare  float64 `json:"retries_per_sub_request"`
}

// Second counts the calls whose scheduled arrival is in one second of the run.
type Second struct {
	Second   int     `json:"second"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"` // failed or dropped
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Coverage float64 `json:"coverage"` // mean, 0 to 1
}

func (r *recorder) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.res
	res.Rate, res.Seconds, res.Seed = r.cfg.Rate, r.cfg.Duration.Seconds(), r.cfg.Seed
	res.Latency, res.RefusalLatency = r.searchLatency.quantiles(), r.refusalLatency.quantiles()
	res.Bookings.Latency = r.bookingLatency.quantiles()
	if n := res.Searches.Answered; n > 0 {
		res.Searches.MeanCoverage = r.coverageSum / float64(n)
	}
	if n := float64(res.Extra.SubRequests); n > 0 {
		res.Extra.HedgeShare = float64(res.Extra.Hedges) / n
		res.Extra.RetryShare = float64(res.Extra.Retries) / n
	}
	for k, n := range r.refusalCounts {
		res.Refusals = append(res.Refusals, Refusal{k.id, k.kind, k.execution, n})
	}
	slices.SortFunc(res.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Execution, b.Execution))
	})
	for cause, n := range r.failureCounts {
		res.Failures = append(res.Failures, Failure{cause, n})
	}
	slices.SortFunc(res.Failures, func(a, b Failure) int { return cmp.Compare(a.Cause, b.Cause) })
	for i, s := range r.seconds {
		q := s.latencies.quantiles()
		out := Second{Second: i, Sent: s.sent, Answered: s.answered, Refused: s.refused, Failed: s.failed, P50: q.P50, P99: q.P99}
		if s.answered > 0 {
			out.Coverage = s.coverageSum / float64(s.answered)
		}
		res.Timeline = append(res.Timeline, out)
	}
	return &res
}

// failureCause names the cause of an error, without addresses, so that errors
// can be grouped.
func failureCause(err error) string {
	var network net.Error
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &network) && network.Timeout(), errors.Is(err, os.ErrDeadlineExceeded):
		return "no answer in time"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "connection reset"
	default:
		return "broken answer or connection"
	}
}
