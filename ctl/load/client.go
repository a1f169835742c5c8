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
	// maxAnswerBytes is the maximum size of the body of an answer, in bytes.
	maxAnswerBytes = 64 << 20
	// answerGrace is how long past its deadline a call waits for the answer.
	answerGrace = 2 * time.Second
)

// client sends the calls of a run.
type client struct {
	http   *http.Client
	cfg    Config
	search SearchFunc
}

func newClient(c Config) *client {
	cl := &client{cfg: c, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: c.MaxInFlight},
		// A redirect could run a booking twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	cl.search = cl.searchEntry
	return cl
}

type searchRequest struct {
	Route      string          `json:"route"`
	Query      json.RawMessage `json:"query"`
	DeadlineMS int64           `json:"deadline_ms"`
}

type bookRequest struct {
	Route      string          `json:"route"`
	BookingID  string          `json:"booking_id"`
	Booking    json.RawMessage `json:"booking"`
	DeadlineMS int64           `json:"deadline_ms"`
}

type bookingIDsRequest struct {
	Count int `json:"count"`
}

type bookingIDsAnswer struct {
	BookingIDs []string   `json:"booking_ids"`
	Error      *CallError `json:"error"`
}

// CallError is an error that an instance returned.
type CallError struct {
	ID        string `json:"id"`
	Kind      string `json:"kind"`
	Execution string `json:"execution"`
}

// Answer holds the fields of search and booking answers that a run evaluates.
type Answer struct {
	Coverage  Coverage    `json:"coverage"`
	Stats     SearchStats `json:"stats"`
	Execution string      `json:"execution"`
	Error     *CallError  `json:"error"`
}

// Coverage counts the searched partitions and all partitions of the snapshot.
type Coverage struct {
	Searched int `json:"searched"`
	Total    int `json:"total"`
}

// SearchStats counts the sub-requests that a search needed, and the hedges,
// retries and restarts beyond them.
type SearchStats struct {
	SubRequests int `json:"sub_requests"`
	Hedges      int `json:"hedges"`
	Retries     int `json:"retries"`
	Restarts    int `json:"restarts"`
}

// searchEntry sends a search to the entry of the arrival.
func (c *client) searchEntry(ctx context.Context, arrival Arrival) (Answer, error) {
	var a Answer
	err := c.post(ctx, c.cfg.Entries[arrival.Entry]+"/v1/search", searchRequest{
		Route: c.cfg.Route, Query: json.RawMessage(c.cfg.Query), DeadlineMS: c.cfg.Deadline.Milliseconds(),
	}, &a)
	return a, err
}

func (c *client) book(ctx context.Context, entry, id string) (Answer, error) {
	var a Answer
	err := c.post(ctx, entry+"/v1/book", bookRequest{
		Route: c.cfg.BookingRoute, BookingID: id,
		Booking: json.RawMessage(c.cfg.Query), DeadlineMS: c.cfg.Deadline.Milliseconds(),
	}, &a)
	return a, err
}

// requestBookingIDs gets n booking ids, an equal share from each entry, so that
// the bookings have different owners.
func (c *client) requestBookingIDs(ctx context.Context, n int) ([]string, error) {
	perEntry := (n + len(c.cfg.Entries) - 1) / len(c.cfg.Entries)
	idsByEntry := make([][]string, len(c.cfg.Entries))
	for i, entry := range c.cfg.Entries {
		for len(idsByEntry[i]) < perEntry {
			var a bookingIDsAnswer
			count := min(maxIDsPerRequest, perEntry-len(idsByEntry[i]))
			if err := c.post(ctx, entry+"/v1/booking-ids", bookingIDsRequest{Count: count}, &a); err != nil {
				return nil, err
			}
			if a.Error != nil || len(a.BookingIDs) == 0 {
				return nil, fmt.Errorf("%s issued no booking ids: %+v", entry, a.Error)
			}
			idsByEntry[i] = append(idsByEntry[i], a.BookingIDs...)
		}
	}
	ids := make([]string, 0, n)
	for j := range perEntry {
		for i := range idsByEntry {
			ids = append(ids, idsByEntry[i][j])
		}
	}
	return ids[:n], nil
}

func (c *client) post(ctx context.Context, url string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Deadline+answerGrace)
	defer cancel()
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	// NopCloser hides that the body can be rewound, so that the transport
	// sends it only once.
	body := io.NopCloser(bytes.NewReader(raw))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, answer)
}

func (c *client) get(ctx context.Context, url string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return c.do(req, answer)
}

func (c *client) do(req *http.Request, answer any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(raw) > maxAnswerBytes {
		return fmt.Errorf("%s: the answer has more than %d bytes", req.URL, maxAnswerBytes)
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fmt.Errorf("%s: status %d: %w", req.URL, resp.StatusCode, err)
	}
	return nil
}
