// Package demo runs the demonstration: a small deployment of separate
// processes that answers a search and a booking while a data centre leaves.
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
	searchBudget  = 500 * time.Millisecond
	bookingBudget = time.Second
	// inForceBound is the stated time in which a publication is in force
	// everywhere.
	inForceBound = 3 * time.Second
	// warmBound is a time in which two instances surely find each other.
	warmBound = 10 * time.Second
)

// Run runs the demonstration and prints what it sees. The error tells what was
// not as expected.
func Run(ctx context.Context, out io.Writer, spec cell.Spec) (err error) {
	d := &demo{out: out, began: time.Now()}
	d.say("start %d instances, %d groups with %d replicas and %d booking targets in %s",
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
	steps := []func(context.Context) error{d.firstAnswers, d.takeOut, d.nextAnswers, d.showCounts}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.say("stop all processes with SIGTERM")
	if err := c.Stop(); err != nil {
		return err
	}
	d.say("every process stopped with exit status 0")
	return nil
}

type demo struct {
	out   io.Writer
	began time.Time
	cell  *cell.Cell
}

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// firstAnswers shows a complete search and a booking, each at both instances.
func (d *demo) firstAnswers(ctx context.Context) error {
	for _, in := range d.cell.Instances {
		d.say("%s in %s is ready at %s", in.ID, in.Place, in.Entry)
	}
	if err := d.cell.AwaitComplete(ctx, warmBound); err != nil {
		return err
	}
	if err := d.cell.AwaitTargets(ctx, warmBound); err != nil {
		return err
	}
	return d.answers(ctx, "first")
}

// answers sends a search and a booking to each instance and prints them.
func (d *demo) answers(ctx context.Context, name string) error {
	for i, in := range d.cell.Instances {
		answer, err := d.search(ctx, in, fmt.Sprintf("%s-%d", name, i+1))
		if err != nil {
			return err
		}
		d.say("search at %s: snapshot %d, coverage %d of %d, %d parts, %d hedges, %d retries, %.1f ms",
			in.ID, answer.Snapshot, answer.Coverage.Searched, answer.Coverage.Total,
			len(answer.Parts), answer.Stats.Hedges, answer.Stats.Retries, answer.ElapsedMS)
	}
	return d.book(ctx)
}

// search requires a complete answer to its own request.
func (d *demo) search(ctx context.Context, in *cell.Instance, id string) (*client.SearchAnswer, error) {
	answer, err := in.Search(ctx, id, fmt.Sprintf("{\"text\":%q}", id), searchBudget)
	switch {
	case err != nil:
		return nil, err
	case answer.Snapshot != cell.IndexVersion:
		return nil, fmt.Errorf("search %s: snapshot %d, want %d", id, answer.Snapshot, cell.IndexVersion)
	case answer.Coverage.Fraction != 1 || len(answer.Parts) != d.cell.Spec.Groups:
		return nil, fmt.Errorf("search %s: coverage %d of %d, missing %v", id,
			answer.Coverage.Searched, answer.Coverage.Total, answer.Coverage.Missing)
	}
	for _, part := range answer.Parts {
		result, err := cell.ResultOf(part.Result)
		if err != nil {
			return nil, fmt.Errorf("search %s: the part of %s: %w", id, part.Group, err)
		}
		if result.RequestID != id {
			return nil, fmt.Errorf("search %s: the part of %s answers request %q", id, part.Group, result.RequestID)
		}
	}
	return answer, nil
}

// book runs a booking at one instance and repeats it at the other.
func (d *demo) book(ctx context.Context) error {
	first, second := d.cell.Instances[0], d.cell.Instances[len(d.cell.Instances)-1]
	id, err := first.BookingID(ctx)
	if err != nil {
		return err
	}
	for i, in := range []*cell.Instance{first, second} {
		answer, err := in.Book(ctx, id, `{"sku":"iroko-40"}`, bookingBudget)
		if err != nil {
			return err
		}
		d.say("booking %s at %s: %s at %s, repeat %v, %.1f ms", id, in.ID,
			answer.Execution, answer.Target, answer.Repeat, answer.ElapsedMS)
		if answer.Execution != client.Ran || answer.Repeat != (i == 1) {
			return fmt.Errorf("booking %s at %s: execution %s, repeat %v", id, in.ID, answer.Execution, answer.Repeat)
		}
	}
	counts, err := d.cell.Counts(ctx)
	if err != nil {
		return err
	}
	ran := 0
	for _, c := range counts {
		ran += c.Bookings[id]
	}
	if ran != 1 {
		return fmt.Errorf("booking %s ran %d times", id, ran)
	}
	return nil
}

// takeOut publishes a set that takes the first data centre out.
func (d *demo) takeOut(ctx context.Context) error {
	began := time.Now()
	if err := d.cell.PublishStepsInForce(ctx, 1); err != nil {
		return err
	}
	d.say("publish generation %d, which takes %s out", d.cell.Set.Generation, d.cell.Spec.Places[0])
	if err := d.cell.AwaitInForce(ctx, inForceBound); err != nil {
		return err
	}
	d.say("generation %d is in force at every instance after %d ms",
		d.cell.Set.Generation, time.Since(began).Milliseconds())
	return d.cell.Mark(ctx, afterLeave)
}

// afterLeave names the counter of requests after the data centre left.
const afterLeave = "after-leave"

func (d *demo) nextAnswers(ctx context.Context) error { return d.answers(ctx, "next") }

// showCounts prints the targets' own counts and checks those that left.
func (d *demo) showCounts(ctx context.Context) error {
	counts, err := d.cell.Counts(ctx)
	if err != nil {
		return err
	}
	out := d.cell.Spec.Places[0]
	var problems []error
	for _, g := range d.cell.Set.Groups {
		for _, t := range g.Targets {
			c := counts[t.Name]
			after := c.RequestsByMark[afterLeave]
			d.say("%-18s %-6s %3d requests, %d of them after %s left; at most %d at once on %d slots, %d overloads",
				t.Name, t.Place, c.Requests, after, out, c.MaxConcurrent, c.Slots, c.Overloads)
			if t.Place == out && after > 0 {
				problems = append(problems, fmt.Errorf("%s in %s got %d requests after it left", t.Name, out, after))
			}
			if c.MaxConcurrent > c.Slots {
				problems = append(problems, fmt.Errorf("%s had %d requests at once on %d slots", t.Name, c.MaxConcurrent, c.Slots))
			}
		}
	}
	return errors.Join(problems...)
}
