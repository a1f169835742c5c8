package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 64 << 20
	// answerGrace is the time that a call may take beyond its deadline before
	// the run gives it up.
	answerGrace = 2 * time.Second
)

// client sends calls.
type client struct {
	http   *http.Client
	cfg    Config
	search SearchFunc
}

func newClient(c Config) *client {
	out := &client{cfg: c, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: c.MaxInFlight},
		// A redirect could run a booking twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	out.search = out.searchEntry
	return out
}

type searchRequest struct {
	Route      string          `json:"route"`
	Query      json.RawMessage `json:"query"`
	DeadlineMs int64           `json:"deadline_ms"`
}

type bookRequest struct {
	Route      string          `json:"route"`
	BookingID  string          `json:"booking_id"`
	Booking    json.RawMessage `json:"booking"`
	DeadlineMs int64           `json:"deadline_ms"`
}

type idsRequest struct {
	Count int `json:"count"`
}

type idsAnswer struct {
	BookingIDs []string   `json:"booking_ids"`
	Error      *CallError `json:"error"`
}

// CallError is an error of the tier.
type CallError struct {
	ID        string `json:"id"`
	Kind      string `json:"kind"`
	Execution string `json:"execution"`
}

// Answer has the fields of search and booking answers that a run looks at.
type Answer struct {
	Coverage  Coverage   `json:"coverage"`
	Stats     Stats      `json:"stats"`
	Execution string     `json:"execution"`
	Error     *CallError `json:"error"`
}

// Coverage counts partitions of the answered snapshot.
type Coverage struct {
	Searched int `json:"searched"`
	Total    int `json:"total"`
}

// Stats counts what a search cost.
type Stats struct {
	SubRequests int `json:"sub_requests"`
	Hedges      int `json:"hedges"`
	Retries     int `json:"retries"`
	Restarts    int `json:"restarts"`
}

func (c *client) searchEntry(ctx context.Context, to Arrival) (Answer, error) {
	var a Answer
	err := c.post(ctx, c.cfg.Entries[to.Entry]+"/v1/search", searchRequest{
		Route: c.cfg.Route, Query: json.RawMessage(c.cfg.Query), DeadlineMs: c.cfg.Deadline.Milliseconds(),
	}, &a)
	return a, err
}

func (c *client) book(ctx context.Context, entry, id string) (Answer, error) {
	var a Answer
	err := c.post(ctx, entry+"/v1/book", bookRequest{
		Route: c.cfg.BookingRoute, BookingID: id,
		Booking: json.RawMessage(c.cfg.Query), DeadlineMs: c.cfg.Deadline.Milliseconds(),
	}, &a)
	return a, err
}

// issue gets n booking ids, an equal part from each entry, so that bookings
// have different owners.
func (c *client) issue(ctx context.Context, n int) ([]string, error) {
	perEntry := (n + len(c.cfg.Entries) - 1) / len(c.cfg.Entries)
	lists := make([][]string, len(c.cfg.Entries))
	for i, entry := range c.cfg.Entries {
		for len(lists[i]) < perEntry {
			var a idsAnswer
			count := min(idsPerRequest, perEntry-len(lists[i]))
			if err := c.post(ctx, entry+"/v1/booking-ids", idsRequest{Count: count}, &a); err != nil {
				return nil, err
			}
			if a.Error != nil || len(a.BookingIDs) == 0 {
				return nil, fmt.Errorf("%s issued no booking ids: %+v", entry, a.Error)
			}
			lists[i] = append(lists[i], a.BookingIDs...)
		}
	}
	ids := make([]string, 0, n)
	for j := range perEntry {
		for i := range lists {
			ids = append(ids, lists[i][j])
		}
	}
	return ids[:n], nil
}

func (c *client) post(ctx context.Context, url string, request, to any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Deadline+answerGrace)
	defer cancel()
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	// The body cannot be rewound, so that the transport sends it only once.
	body := io.NopCloser(bytes.NewReader(raw))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return err
	}
	r.ContentLength = int64(len(raw))
	r.Header.Set("Content-Type", "application/json")
	return c.do(r, to)
}

func (c *client) get(ctx context.Context, url string, to any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return c.do(r, to)
}

func (c *client) do(r *http.Request, to any) error {
	got, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = got.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(got.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%s: status %d: %w", r.URL, got.StatusCode, err)
	}
	return nil
}
