package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"galenadyke.dev/ctl/load"
)

// WriteTable prints the rows as a table. Latencies are in milliseconds.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow := func(columns ...string) { _, _ = fmt.Fprintln(t, strings.Join(columns, "\t")) } // Flush returns the write error
	writeRow("scenario", "load %", "policy", "groups", "sent", "p50", "p99", "p99.9", "coverage", "complete",
		"beyond", "at once/slots", "excess", "overloads", "fail-overs", "refused", "refusal p99", "bookings wrong", "cpu ms", "refusals")
	for _, r := range rows {
		if r.Load == nil {
			writeRow(string(r.Scenario), fmt.Sprintf("%.0f", r.Percent), string(r.Policy), fmt.Sprint(r.Groups), "error: "+r.Error)
			continue
		}
		l, s, g := r.Load, r.Load.Searches, r.Targets
		writeRow(string(r.Scenario), fmt.Sprintf("%.0f", r.Percent), string(r.Policy), fmt.Sprint(r.Groups), fmt.Sprint(s.Sent),
			fmt.Sprintf("%.1f", l.Latency.P50), fmt.Sprintf("%.1f", l.Latency.P99), fmt.Sprintf("%.1f", l.Latency.P999),
			fmt.Sprintf("%.5f", s.MeanCoverage), fmt.Sprintf("%.2f%%", 100*float64(s.Complete)/float64(max(1, s.Sent))),
			fmt.Sprintf("%+.2f%%", 100*g.BeyondNeeded), fmt.Sprintf("%d/%d", g.MaxConcurrent, g.Slots), fmt.Sprint(g.MaxExcess),
			fmt.Sprint(g.Overloads), fmt.Sprint(g.FailOvers), fmt.Sprint(l.Refused), fmt.Sprintf("%.1f", l.RefusalLatency.P99),
			wrongBookings(l.Bookings), fmt.Sprintf("%.2f", r.CPUMsPerSearch), refusalCounts(l)+errorSuffix(r))
	}
	return t.Flush()
}

func wrongBookings(b load.BookingCounts) string {
	if !b.Checked {
		return "-"
	}
	return fmt.Sprintf("%d of %d", b.WrongCount(), b.Sent)
}

func refusalCounts(l *load.Result) string {
	var counts []string
	for _, k := range l.Refusals {
		counts = append(counts, fmt.Sprintf("%s/%s %d", k.Kind, k.Execution, k.Count))
	}
	for _, f := range l.Failures {
		counts = append(counts, fmt.Sprintf("(%s %d)", f.Cause, f.Count))
	}
	return strings.Join(counts, ", ")
}

func errorSuffix(r Row) string {
	if r.Error == "" {
		return ""
	}
	return " error: " + r.Error
}
