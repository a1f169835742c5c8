package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest latency that the histograms hold; longer ones
	// are recorded as maxLatency.
	maxLatency = time.Minute
	// latencyDigits is the number of significant decimal digits of the
	// histograms.
	latencyDigits = 3
)

// histogram is a histogram of latencies in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (h histogram) record(d time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// quantiles returns the quantiles in milliseconds.
func (h histogram) quantiles() Quantiles {
	quantileMS := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.h.TotalCount(), P50: quantileMS(50), P95: quantileMS(95), P99: quantileMS(99), P999: quantileMS(99.9), Max: float64(h.h.Max()) / 1000}
}

// recorder collects the outcomes of calls. mu guards all fields below it.
type recorder struct {
	cfg Config

	mu             sync.Mutex
	res            Result
	searchLatency  histogram
	refusalLatency histogram
	bookingLatency histogram
	refusalCounts  map[refusalKey]int
	failureCounts  map[string]int // by cause
	seconds        []secondRecord
	executions     map[string]string // answered execution by booking id
	coverageSum    float64           // sum of the coverages of answered searches, 0 to 1 each
}

type refusalKey struct{ id, kind, execution string }

// secondRecord collects the calls whose scheduled arrival is in one second.
type secondRecord struct {
	sent, answered, refused, failed int
	coverageSum                     float64
	latencies                       histogram
}

func newRecorder(cfg Config) *recorder {
	r := &recorder{
		cfg: cfg, searchLatency: newHistogram(), refusalLatency: newHistogram(), bookingLatency: newHistogram(),
		refusalCounts: make(map[refusalKey]int), failureCounts: make(map[string]int),
		seconds:    make([]secondRecord, int((cfg.Duration+time.Second-1)/time.Second)),
		executions: make(map[string]string),
	}
	for i := range r.seconds {
		r.seconds[i].latencies = newHistogram()
	}
	return r
}

func (r *recorder) second(a Arrival) *secondRecord { return &r.seconds[a.At/time.Second] }

// recordDrop counts a call that was not sent. In the timeline it counts as failed.
func (r *recorder) recordDrop(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Dropped++
	r.second(a).failed++
}

// recordSearch counts a search that ended.
func (r *recorder) recordSearch(a Arrival, latency time.Duration, answer Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second(a)
	s.sent++
	r.res.Searches.Sent++
	if r.recordError(s, latency, answer.Error, err) {
		return
	}
	fraction := 0.0
	if answer.Coverage.Total > 0 {
		fraction = float64(answer.Coverage.Searched) / float64(answer.Coverage.Total)
	}
	r.res.Searches.Answered++
	if answer.Coverage.Total > 0 && answer.Coverage.Searched == answer.Coverage.Total {
		r.res.Searches.Complete++
	}
	if r.res.Searches.Answered == 1 || fraction < r.res.Searches.MinCoverage {
		r.res.Searches.MinCoverage = fraction
	}
	r.coverageSum += fraction
	s.answered++
	s.coverageSum += fraction
	s.latencies.record(latency)
	r.searchLatency.record(latency)
	r.res.Extra.SubRequests += answer.Stats.SubRequests
	r.res.Extra.Hedges += answer.Stats.Hedges
	r.res.Extra.Retries += answer.Stats.Retries
	r.res.Extra.Restarts += answer.Stats.Restarts
}

// recordError counts a refusal or a failure. It returns false if the call had
// neither.
func (r *recorder) recordError(s *secondRecord, latency time.Duration, refusal *CallError, err error) bool {
	switch {
	case err != nil:
		r.res.Failed++
		r.failureCounts[failureCause(err)]++
		s.failed++
		return true
	case refusal != nil:
		r.res.Refused++
		r.refusalCounts[refusalKey{refusal.ID, refusal.Kind, refusal.Execution}]++
		r.refusalLatency.record(latency)
		s.refused++
		return true
	}
	return false
}

// recordBooking counts a booking that ended.
func (r *recorder) recordBooking(a Arrival, id string, latency time.Duration, answer Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second(a)
	s.sent++
	b := &r.res.Bookings
	b.Sent++
	execution := answer.Execution
	if r.recordError(s, latency, answer.Error, err) {
		execution = "unknown" // a failed call does not show whether the booking ran
		if answer.Error != nil {
			execution = answer.Error.Execution
		}
	}
	switch execution {
	case "ran":
		b.Ran++
		r.bookingLatency.record(latency)
	case "not_run":
		b.NotRun++
	default:
		b.Unknown++
	}
	r.executions[id] = execution
}

// compareBookings checks the answers to the bookings against runCounts, which gives
// for each booking id how often the targets ran the booking.
func (r *recorder) compareBookings(runCounts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.res.Bookings
	b.Checked = true
	for id, execution := range r.executions {
		n := runCounts[id]
		switch {
		case n > 1:
			b.RanTwice = append(b.RanTwice, id)
		case n == 1 && execution == "not_run":
			b.NotRunYetRan = append(b.NotRunYetRan, id)
		case n == 0 && execution == "ran":
			b.RanYetNotRun = append(b.RanYetNotRun, id)
		case n == 1 && execution == "unknown":
			b.UnknownYetRan++
		}
	}
	slices.Sort(b.RanTwice)
	slices.Sort(b.NotRunYetRan)
	slices.Sort(b.RanYetNotRun)
}
