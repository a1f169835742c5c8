package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Run runs the load and waits for all answers. If ctx ends early, the result
// covers the calls until then.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := newClient(cfg)
	defer c.http.CloseIdleConnections()
	return c.run(ctx)
}

// SearchFunc makes one search. It stands in for a call to an instance.
type SearchFunc func(context.Context, Arrival) (Answer, error)

// RunFunc is Run with searches that f makes. It sends no bookings.
func RunFunc(ctx context.Context, cfg Config, f SearchFunc) (*Result, error) {
	cfg.BookingShare = 0
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := newClient(cfg)
	c.search = f
	return c.run(ctx)
}

func (c *client) run(ctx context.Context) (*Result, error) {
	plan := schedule(c.cfg)
	ids, err := c.issueFor(ctx, plan)
	if err != nil {
		return nil, err
	}
	r := newRecorder(c.cfg)
	c.drive(ctx, plan, ids, r)
	if err := c.checkBookings(ctx, r); err != nil {
		return nil, err
	}
	return r.result(), nil
}

// issueFor gets one booking id for each booking of the schedule.
func (c *client) issueFor(ctx context.Context, plan []Arrival) ([]string, error) {
	n := 0
	for _, a := range plan {
		if a.Booking {
			n++
		}
	}
	if n == 0 {
		return nil, nil
	}
	return c.issue(ctx, n)
}

// drive sends the calls at their times and waits for their ends.
func (c *client) drive(ctx context.Context, plan []Arrival, ids []string, r *recorder) {
	var all sync.WaitGroup
	defer all.Wait()
	slots := make(chan struct{}, c.cfg.MaxInFlight)
	began := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range plan {
		id := ""
		if a.Booking {
			id, ids = ids[0], ids[1:]
		}
		due := began.Add(a.At)
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			r.drop(a)
			continue
		}
		all.Go(func() {
			defer func() { <-slots }()
			// Calls that are in progress when ctx ends keep their own bound.
			c.one(context.WithoutCancel(ctx), a, id, due, r)
		})
	}
}

func (c *client) one(ctx context.Context, a Arrival, id string, due time.Time, r *recorder) {
	if a.Booking {
		got, err := c.book(ctx, c.cfg.Entries[a.Entry], id)
		r.booked(a, id, time.Since(due), got, err)
		return
	}
	got, err := c.search(ctx, a)
	r.searched(a, time.Since(due), got, err)
}

// targetCounts has the fields of the testbed's counts that a run looks at.
type targetCounts struct {
	Targets []struct {
		Name     string         `json:"name"`
		Bookings map[string]int `json:"bookings"`
	} `json:"targets"`
}

// checkBookings compares the answers with what the targets ran.
func (c *client) checkBookings(ctx context.Context, r *recorder) error {
	if len(c.cfg.TargetCounts) == 0 || len(r.bookings) == 0 {
		return nil
	}
	// A booking that was answered "not run" and still is under way would run
	// within its deadline.
	select {
	case <-time.After(c.cfg.Deadline):
	case <-ctx.Done():
	}
	ran := make(map[string]int)
	for _, url := range c.cfg.TargetCounts {
		var counts targetCounts
		if err := c.get(context.WithoutCancel(ctx), url, &counts); err != nil {
			return fmt.Errorf("target counts: %w", err)
		}
		for _, t := range counts.Targets {
			for id, n := range t.Bookings {
				ran[id] += n
			}
		}
	}
	r.compare(ran)
	return nil
}
