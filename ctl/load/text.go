package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText prints the result for a terminal.
func (r *Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) } // Flush reports errors
	s := r.Searches
	printLine("load\t%.0f calls/s for %.0f s, seed %d; %d refused, %d failed, %d dropped", r.Rate, r.Seconds, r.Seed, r.Refused, r.Failed, r.Dropped)
	printLine("searches\t%d sent, %d answered, %d complete; coverage mean %.5f, least %.3f", s.Sent, s.Answered, s.Complete, s.MeanCoverage, s.MinCoverage)
	printLine("latency\t%s", r.Latency)
	if r.Refused > 0 {
		printLine("refusal latency\t%s", r.RefusalLatency)
	}
	e := r.Extra
	printLine("extra load\t%d sub-requests, hedges %.4f and retries %.4f for each, %d restarts", e.SubRequests, e.HedgeShare, e.RetryShare, e.Restarts)
	if b := r.Bookings; b.Sent > 0 {
		printLine("bookings\t%d sent, %d ran, %d not run, %d unknown; %s", b.Sent, b.Ran, b.NotRun, b.Unknown, b.Latency)
		if b.Checked {
			printLine("booking check\t%d ran twice, %d answered not run yet ran, %d answered ran yet did not, %d unknown that ran",
				len(b.RanTwice), len(b.NotRunYetRan), len(b.RanYetNotRun), b.UnknownYetRan)
		}
	}
	for _, k := range r.Refusals {
		printLine("refusal\t%s %s, %s: %d", k.ID, k.Kind, k.Execution, k.Count)
	}
	for _, f := range r.Failures {
		printLine("failure\t%s: %d", f.Cause, f.Count)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	printLine("\nsecond\tsent\tanswered\trefused\tfailed\tp50 ms\tp99 ms\tcoverage")
	for _, x := range r.Timeline {
		printLine("%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.4f", x.Second, x.Sent, x.Answered, x.Refused, x.Failed, x.P50, x.P99, x.Coverage)
	}
	return t.Flush()
}

// String returns the quantiles in milliseconds.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.2f, p95 %.2f, p99 %.2f, p99.9 %.2f, max %.2f ms", q.P50, q.P95, q.P99, q.P999, q.Max)
}
