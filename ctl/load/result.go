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
	Rate     float64 `json:"rate"`
	Seconds  float64 `json:"seconds"`
	Seed     uint64  `json:"seed"`
	Searches Search  `json:"searches"`
	Bookings Booking `json:"bookings"`
	Refused  int     `json:"refused"`
	// Failed counts calls without an answer of the tier.
	Failed int `json:"failed"`
	// Dropped counts calls that were not sent, because too many were in
	// progress.
	Dropped int `json:"dropped"`
	// Latency is that of searches with an answer, complete or not.
	Latency        Quantiles `json:"latency_ms"`
	RefusalLatency Quantiles `json:"refusal_latency_ms"`
	Refusals       []Refusal `json:"refusals"`
	Failures       []Failure `json:"failures"`
	Extra          Extra     `json:"extra"`
	Timeline       []Second  `json:"timeline"`
}

// Search counts searches.
type Search struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Complete int `json:"complete"` // answered with full coverage
	// MeanCoverage and MinCoverage are of the answered searches, 0 to 1.
	MeanCoverage float64 `json:"mean_coverage"`
	MinCoverage  float64 `json:"min_coverage"`
}

// Booking counts bookings and what the check against the targets found.
type Booking struct {
	Sent          int       `json:"sent"`
	Ran           int       `json:"ran"`
	NotRun        int       `json:"not_run"`
	Unknown       int       `json:"unknown"`
	Latency       Quantiles `json:"latency_ms"` // of those that ran
	Checked       bool      `json:"checked"`
	Twice         []string  `json:"ran_twice"`
	NotRunYetRan  []string  `json:"answered_not_run_yet_ran"`
	RanYetNotRun  []string  `json:"answered_ran_yet_did_not"`
	UnknownYetRan int       `json:"answered_unknown_and_ran"`
}

// Wrong returns the number of bookings whose answer was not true or that ran
// twice.
func (b Booking) Wrong() int { return len(b.Twice) + len(b.NotRunYetRan) + len(b.RanYetNotRun) }

// Quantiles of a latency, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// Refusal counts errors of the tier.
type Refusal struct {
	ID        string `json:"id"`
	Kind      string `json:"kind"`
	Execution string `json:"execution"`
	Count     int    `json:"count"`
}

// Failure counts calls that broke.
type Failure struct {
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// Extra is the load that the tier added. SubRequests are the needed ones.
type Extra struct {
	SubRequests int     `json:"sub_requests"`
	Hedges      int     `json:"hedges"`
	Retries     int     `json:"retries"`
	Restarts    int     `json:"restarts"`
	HedgeShare  float64 `json:"hedges_per_sub_request"`
	RetryShare  float64 `json:"retries_per_sub_request"`
}

// Second is one second of the timeline, by scheduled arrival.
type Second struct {
	Second   int     `json:"second"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Coverage float64 `json:"coverage"` // mean, 0 to 1
}

func (r *recorder) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.res
	res.Rate, res.Seconds, res.Seed = r.cfg.Rate, r.cfg.Duration.Seconds(), r.cfg.Seed
	res.Latency, res.RefusalLatency = r.answers.quantiles(), r.refusals.quantiles()
	res.Bookings.Latency = r.bookTimes.quantiles()
	if n := res.Searches.Answered; n > 0 {
		res.Searches.MeanCoverage = r.coverage / float64(n)
	}
	if n := float64(res.Extra.SubRequests); n > 0 {
		res.Extra.HedgeShare = float64(res.Extra.Hedges) / n
		res.Extra.RetryShare = float64(res.Extra.Retries) / n
	}
	for k, n := range r.kinds {
		res.Refusals = append(res.Refusals, Refusal{k.id, k.kind, k.execution, n})
	}
	slices.SortFunc(res.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Execution, b.Execution))
	})
	for cause, n := range r.failures {
		res.Failures = append(res.Failures, Failure{cause, n})
	}
	slices.SortFunc(res.Failures, func(a, b Failure) int { return cmp.Compare(a.Cause, b.Cause) })
	for i, s := range r.seconds {
		q := s.latencies.quantiles()
		out := Second{Second: i, Sent: s.sent, Answered: s.answered, Refused: s.refused, Failed: s.failed, P50: q.P50, P99: q.P99}
		if s.answered > 0 {
			out.Coverage = s.coverage / float64(s.answered)
		}
		res.Timeline = append(res.Timeline, out)
	}
	return &res
}

// failureName groups errors without their addresses.
func failureName(err error) string {
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
