// Package demo runs the demonstration: a small deployment of separate processes
// that answers searches and bookings before and after a data centre leaves.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"galenadyke.dev/ctl/client"
	"galenadyke.dev/testbed/cell"
)

const (
	searchDeadline  = 500 * time.Millisecond
	bookingDeadline = time.Second
	// inForceBound is the stated time in which a published set comes into force at
	// every instance.
	inForceBound = 3 * time.Second
	// discoveryTimeout bounds the time in which new instances find each other and
	// their targets.
	discoveryTimeout = 10 * time.Second
)

// Run runs the demonstration and prints its steps and results to out. An error
// says which expectation was not met; the processes are then killed.
func Run(ctx context.Context, out io.Writer, spec cell.Spec) (err error) {
	d := &demo{out: out, start: time.Now()}
	d.printf("start %d instances, %d groups with %d replicas and %d booking targets in %s",
		spec.Instances, spec.Groups, spec.Replicas, spec.BookingTargets, strings.Join(spec.Places, " and "))
	c, err := cell.Start(ctx, spec)
	if err != nil {
		return err
	}
	d.cell = c
	defer func() {
		if err != nil {
			c.Kill()
		}
	}()
	steps := []func(context.Context) error{d.answerBeforeLeave, d.takePlaceOut, d.answerAfterLeave, d.showCounts}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printf("stop all processes with SIGTERM")
	if err := c.Stop(); err != nil {
		return err
	}
	d.printf("every process stopped with exit status 0")
	return nil
}

type demo struct {
	out   io.Writer
	start time.Time
	cell  *cell.Cell
}

// printf prints one line with the time since the start.
func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// answerBeforeLeave waits until searches are complete and the instances know all
// targets, and then calls searchAndBook.
func (d *demo) answerBeforeLeave(ctx context.Context) error {
	for _, in := range d.cell.Instances {
		d.printf("%s in %s is ready at %s", in.ID, in.Place, in.Entry)
	}
	if err := d.cell.AwaitComplete(ctx, discoveryTimeout); err != nil {
		return err
	}
	if err := d.cell.AwaitTargets(ctx, discoveryTimeout); err != nil {
		return err
	}
	return d.searchAndBook(ctx, "first")
}

// searchAndBook sends a search to each instance and the same booking to the
// first and the last instance, and prints the answers. The request ids of the
// searches begin with idPrefix.
func (d *demo) searchAndBook(ctx context.Context, idPrefix string) error {
	for i, in := range d.cell.Instances {
		answer, err := d.search(ctx, in, fmt.Sprintf("%s-%d", idPrefix, i+1))
		if err != nil {
			return err
		}
		d.printf("search at %s: snapshot %d, coverage %d of %d, %d parts, %d hedges, %d retries, %.1f ms",
			in.ID, answer.Snapshot, answer.Coverage.Searched, answer.Coverage.Total,
			len(answer.Parts), answer.Stats.Hedges, answer.Stats.Retries, answer.ElapsedMS)
	}
	return d.book(ctx)
}

// search sends a search and checks that its answer is complete and from the
// published index version, and that every part answers this request.
func (d *demo) search(ctx context.Context, in *cell.Instance, id string) (*client.SearchAnswer, error) {
	answer, err := in.Search(ctx, id, fmt.Sprintf("{\"text\":%q}", id), searchDeadline)
	switch {
	case err != nil:
		return nil, err
	case answer.Snapshot != cell.IndexVersion:
		return nil, fmt.Errorf("search %s: got snapshot %d, want %d", id, answer.Snapshot, cell.IndexVersion)
	case answer.Coverage.Fraction != 1 || len(answer.Parts) != d.cell.Spec.Groups:
		return nil, fmt.Errorf("search %s: got coverage %d of %d with groups %v missing, want full coverage and one part for each group", id,
			answer.Coverage.Searched, answer.Coverage.Total, answer.Coverage.Missing)
	}
	for _, part := range answer.Parts {
		result, err := cell.ResultOf(part.Result)
		if err != nil {
			return nil, fmt.Errorf("search %s: part of group %s: %w", id, part.Group, err)
		}
		if result.RequestID != id {
			return nil, fmt.Errorf("search %s: part of group %s answers another request, %q", id, part.Group, result.RequestID)
		}
	}
	return answer, nil
}

// book sends a booking to the first instance and repeats it at the last one. The
// booking must run exactly once.
func (d *demo) book(ctx context.Context) error {
	first, last := d.cell.Instances[0], d.cell.Instances[len(d.cell.Instances)-1]
	id, err := first.BookingID(ctx)
	if err != nil {
		return err
	}
	for i, in := range []*cell.Instance{first, last} {
		answer, err := in.Book(ctx, id, `{"sku":"iroko-40"}`, bookingDeadline)
		if err != nil {
			return err
		}
		d.printf("booking %s at %s: %s at %s, repeat %v, %.1f ms", id, in.ID,
			answer.Execution, answer.Target, answer.Repeat, answer.ElapsedMS)
		if answer.Execution != client.Ran || answer.Repeat != (i == 1) {
			return fmt.Errorf("booking %s at %s: got execution %s, repeat %v; want an execution that ran, and a repeat only at the last instance", id, in.ID, answer.Execution, answer.Repeat)
		}
	}
	counts, err := d.cell.Counts(ctx)
	if err != nil {
		return err
	}
	runs := 0
	for _, c := range counts {
		runs += c.Bookings[id]
	}
	if runs != 1 {
		return fmt.Errorf("booking %s ran %d times, want once", id, runs)
	}
	return nil
}

// takePlaceOut publishes a set that takes the first data centre out, waits until
// it is in force and starts the counter afterLeave.
func (d *demo) takePlaceOut(ctx context.Context) error {
	published := time.Now()
	if err := d.cell.PublishStepsInForce(ctx, 1); err != nil {
		return err
	}
	d.printf("publish generation %d, which takes %s out", d.cell.Set.Generation, d.cell.Spec.Places[0])
	if err := d.cell.AwaitInForce(ctx, inForceBound); err != nil {
		return err
	}
	d.printf("generation %d is in force at every instance after %d ms",
		d.cell.Set.Generation, time.Since(published).Milliseconds())
	return d.cell.Mark(ctx, afterLeave)
}

// afterLeave is the label of the counter of requests after the data centre has
// left.
const afterLeave = "after-leave"

func (d *demo) answerAfterLeave(ctx context.Context) error { return d.searchAndBook(ctx, "next") }

// showCounts prints the counts of all targets. It fails if a target got a request
// after its data centre left, or more requests at once than it has slots.
func (d *demo) showCounts(ctx context.Context) error {
	counts, err := d.cell.Counts(ctx)
	if err != nil {
		return err
	}
	leftPlace := d.cell.Spec.Places[0]
	var errs []error
	for _, g := range d.cell.Set.Groups {
		for _, t := range g.Targets {
			c := counts[t.Name]
			after := c.RequestsByMark[afterLeave]
			d.printf("%-18s %-6s %3d requests, %d of them after %s left; at most %d at once on %d slots, %d overloads",
				t.Name, t.Place, c.Requests, after, leftPlace, c.MaxConcurrent, c.Slots, c.Overloads)
			if t.Place == leftPlace && after > 0 {
				errs = append(errs, fmt.Errorf("%s in %s got %d requests after the place left, want 0", t.Name, leftPlace, after))
			}
			if c.MaxConcurrent > c.Slots {
				errs = append(errs, fmt.Errorf("%s had %d requests at once, want at most its %d slots", t.Name, c.MaxConcurrent, c.Slots))
			}
		}
	}
	return errors.Join(errs...)
}
