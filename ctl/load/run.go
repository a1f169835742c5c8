package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Run sends the load and waits until every call has ended. If ctx ends early,
// the result covers the calls sent until then. It fails if cfg is invalid, or if
// the booking ids or the target counts cannot be read.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := newClient(cfg)
	defer c.http.CloseIdleConnections()
	return c.run(ctx)
}

// SearchFunc runs one search in place of a call to an instance.
type SearchFunc func(context.Context, Arrival) (Answer, error)

// RunFunc is Run with f in place of the search calls. It sends no bookings.
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
	arrivals := schedule(c.cfg)
	ids, err := c.issueBookingIDs(ctx, arrivals)
	if err != nil {
		return nil, err
	}
	r := newRecorder(c.cfg)
	c.sendAll(ctx, arrivals, ids, r)
	if err := c.checkBookings(ctx, r); err != nil {
		return nil, err
	}
	return r.result(), nil
}

// issueBookingIDs gets one booking id for each scheduled booking.
func (c *client) issueBookingIDs(ctx context.Context, arrivals []Arrival) ([]string, error) {
	count := 0
	for _, a := range arrivals {
		if a.Booking {
			count++
		}
	}
	if count == 0 {
		return nil, nil
	}
	return c.requestBookingIDs(ctx, count)
}

// sendAll sends each call at its scheduled time and waits until all have ended.
func (c *client) sendAll(ctx context.Context, arrivals []Arrival, ids []string, r *recorder) {
	var calls sync.WaitGroup
	defer calls.Wait()
	inFlight := make(chan struct{}, c.cfg.MaxInFlight)
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range arrivals {
		id := ""
		if a.Booking {
			id, ids = ids[0], ids[1:]
		}
		scheduled := start.Add(a.At)
		timer.Reset(time.Until(scheduled))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			r.recordDrop(a)
			continue
		}
		calls.Go(func() {
			defer func() { <-inFlight }()
			// Calls in progress when ctx ends run on to their own timeout.
			c.send(context.WithoutCancel(ctx), a, id, scheduled, r)
		})
	}
}

// send runs one call and records its outcome.
func (c *client) send(ctx context.Context, a Arrival, id string, scheduled time.Time, r *recorder) {
	if a.Booking {
		answer, err := c.book(ctx, c.cfg.Entries[a.Entry], id)
		r.recordBooking(a, id, time.Since(scheduled), answer, err)
		return
	}
	answer, err := c.search(ctx, a)
	r.recordSearch(a, time.Since(scheduled), answer, err)
}

// targetCounts holds the fields of the testbed's target counts that a run
// evaluates.
type targetCounts struct {
	Targets []struct {
		Name     string         `json:"name"`
		Bookings map[string]int `json:"bookings"`
	} `json:"targets"`
}

// checkBookings compares the answers to the bookings with the run counts from the
// targets.
func (c *client) checkBookings(ctx context.Context, r *recorder) error {
	if len(c.cfg.TargetCounts) == 0 || len(r.executions) == 0 {
		return nil
	}
	// Wait for bookings that were wrongly answered "not run" while in flight: they
	// would run within their deadline.
	select {
	case <-time.After(c.cfg.Deadline):
	case <-ctx.Done():
	}
	runCounts := make(map[string]int)
	for _, url := range c.cfg.TargetCounts {
		var counts targetCounts
		if err := c.get(context.WithoutCancel(ctx), url, &counts); err != nil {
			return fmt.Errorf("target counts: %w", err)
		}
		for _, t := range counts.Targets {
			for id, n := range t.Bookings {
				runCounts[id] += n
			}
		}
	}
	r.compareBookings(runCounts)
	return nil
}
