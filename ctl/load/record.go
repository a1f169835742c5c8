package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest latency that the histograms hold.
	maxLatency = time.Minute
	// latencyDigits is the precision of the histograms in decimal digits.
	latencyDigits = 3
)

// histogram is a histogram of latencies in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (h histogram) record(d time.Duration) {
	// Values in the range cannot fail.
	_ = h.h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (h histogram) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: float64(h.h.Max()) / 1000}
}

// recorder collects the ends of calls. mu guards all fields below it.
type recorder struct {
	cfg Config

	mu        sync.Mutex
	res       Result
	answers   histogram
	refusals  histogram
	bookTimes histogram
	kinds     map[refusalKey]int
	failures  map[string]int
	seconds   []secondRecord
	bookings  map[string]string // id to the execution that was answered
	coverage  float64           // sum of the fractions
}

type refusalKey struct{ id, kind, execution string }

type secondRecord struct {
	sent, answered, refused, failed int
	coverage                        float64
	latencies                       histogram
}

func newRecorder(cfg Config) *recorder {
	r := &recorder{
		cfg: cfg, answers: newHistogram(), refusals: newHistogram(), bookTimes: newHistogram(),
		kinds: make(map[refusalKey]int), failures: make(map[string]int),
		seconds:  make([]secondRecord, int((cfg.Duration+time.Second-1)/time.Second)),
		bookings: make(map[string]string),
	}
	for i := range r.seconds {
		r.seconds[i].latencies = newHistogram()
	}
	return r
}

func (r *recorder) second(a Arrival) *secondRecord { return &r.seconds[a.At/time.Second] }

// drop counts a call that was not sent.
func (r *recorder) drop(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Dropped++
	r.second(a).failed++
}

// searched counts the end of a search.
func (r *recorder) searched(a Arrival, took time.Duration, got Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second(a)
	s.sent++
	r.res.Searches.Sent++
	if r.isError(s, took, got.Error, err) {
		return
	}
	fraction := 0.0
	if got.Coverage.Total > 0 {
		fraction = float64(got.Coverage.Searched) / float64(got.Coverage.Total)
	}
	r.res.Searches.Answered++
	if got.Coverage.Total > 0 && got.Coverage.Searched == got.Coverage.Total {
		r.res.Searches.Complete++
	}
	if r.res.Searches.Answered == 1 || fraction < r.res.Searches.MinCoverage {
		r.res.Searches.MinCoverage = fraction
	}
	r.coverage += fraction
	s.answered++
	s.coverage += fraction
	s.latencies.record(took)
	r.answers.record(took)
	r.res.Extra.SubRequests += got.Stats.SubRequests
	r.res.Extra.Hedges += got.Stats.Hedges
	r.res.Extra.Retries += got.Stats.Retries
	r.res.Extra.Restarts += got.Stats.Restarts
}

// isError counts a refusal or a failure.
func (r *recorder) isError(s *secondRecord, took time.Duration, refused *CallError, err error) bool {
	switch {
	case err != nil:
		r.res.Failed++
		r.failures[failureName(err)]++
		s.failed++
		return true
	case refused != nil:
		r.res.Refused++
		r.kinds[refusalKey{refused.ID, refused.Kind, refused.Execution}]++
		r.refusals.record(took)
		s.refused++
		return true
	}
	return false
}

// booked counts the end of a booking.
func (r *recorder) booked(a Arrival, id string, took time.Duration, got Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second(a)
	s.sent++
	b := &r.res.Bookings
	b.Sent++
	execution := got.Execution
	if r.isError(s, took, got.Error, err) {
		execution = "unknown" // a broken connection tells nothing
		if got.Error != nil {
			execution = got.Error.Execution
		}
	}
	switch execution {
	case "ran":
		b.Ran++
		r.bookTimes.record(took)
	case "not_run":
		b.NotRun++
	default:
		b.Unknown++
	}
	r.bookings[id] = execution
}

// compare checks the answers of the bookings against what ran.
func (r *recorder) compare(ran map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.res.Bookings
	b.Checked = true
	for id, execution := range r.bookings {
		n := ran[id]
		switch {
		case n > 1:
			b.Twice = append(b.Twice, id)
		case n == 1 && execution == "not_run":
			b.NotRunYetRan = append(b.NotRunYetRan, id)
		case n == 0 && execution == "ran":
			b.RanYetNotRun = append(b.RanYetNotRun, id)
		case n == 1 && execution == "unknown":
			b.UnknownYetRan++
		}
	}
	slices.Sort(b.Twice)
	slices.Sort(b.NotRunYetRan)
	slices.Sort(b.RanYetNotRun)
}
