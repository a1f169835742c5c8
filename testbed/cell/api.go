package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"galenadyke.dev/testbed/target"
)

// maxAnswerBytes bounds what is read of an answer.
const maxAnswerBytes = 16 << 20

// client keeps enough connections for a load of many calls at once.
var client = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	Timeout:   30 * time.Second,
}

// SearchAnswer is the tier's answer to a search, or its error.
type SearchAnswer struct {
	RequestID string `json:"request_id"`
	Snapshot  uint64 `json:"snapshot"`
	Coverage  struct {
		Searched int      `json:"searched"`
		Total    int      `json:"total"`
		Fraction float64  `json:"fraction"`
		Missing  []string `json:"missing"`
	} `json:"coverage"`
	Parts []struct {
		Group  string        `json:"group"`
		Target string        `json:"target"`
		Result target.Result `json:"result"`
	} `json:"parts"`
	Stats struct {
		SubRequests int `json:"sub_requests"`
		Hedges      int `json:"hedges"`
		Retries     int `json:"retries"`
		Restarts    int `json:"restarts"`
	} `json:"stats"`
	ElapsedMs float64    `json:"elapsed_ms"`
	Error     *CallError `json:"error"`
}

// BookAnswer is the tier's answer to a booking, or its error.
type BookAnswer struct {
	RequestID string        `json:"request_id"`
	BookingID string        `json:"booking_id"`
	Execution string        `json:"execution"`
	Target    string        `json:"target"`
	Repeat    bool          `json:"repeat"`
	Result    target.Result `json:"result"`
	ElapsedMs float64       `json:"elapsed_ms"`
	Error     *CallError    `json:"error"`
}

// CallError is the tier's error.
type CallError struct {
	ID        string `json:"id"`
	Kind      string `json:"kind"`
	Execution string `json:"execution"`
	Message   string `json:"message"`
}

func (e *CallError) Error() string {
	return fmt.Sprintf("%s %s, %s: %s", e.ID, e.Kind, e.Execution, e.Message)
}

// Status is the part of an instance's status that the testbed looks at.
type Status struct {
	Instance   string `json:"instance"`
	Ready      bool   `json:"ready"`
	Reason     string `json:"reason"`
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	Members    []struct {
		ID        string `json:"id"`
		Status    string `json:"status"`
		Suspected bool   `json:"suspected"`
	} `json:"members"`
	Targets []struct {
		Name  string `json:"name"`
		Group string `json:"group"`
		Lead  string `json:"lead"`
		Level int    `json:"level"`
		Slots int    `json:"slots"`
		Out   bool   `json:"out"`
	} `json:"targets"`
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

// Search sends a search to one entry. The error is of the connection; an error
// of the tier is in the answer.
func Search(ctx context.Context, entry, requestID, query string, budget time.Duration) (SearchAnswer, error) {
	var answer SearchAnswer
	request := searchRequest{Route: SearchRoute, Query: json.RawMessage(query), DeadlineMs: budget.Milliseconds()}
	err := call(ctx, http.MethodPost, entry+"/v1/search", requestID, request, &answer)
	return answer, err
}

// Book sends a booking to one entry.
func Book(ctx context.Context, entry, bookingID, booking string, budget time.Duration) (BookAnswer, error) {
	var answer BookAnswer
	request := bookRequest{Route: BookingRoute, BookingID: bookingID, Booking: json.RawMessage(booking), DeadlineMs: budget.Milliseconds()}
	err := call(ctx, http.MethodPost, entry+"/v1/book", "", request, &answer)
	return answer, err
}

// BookingID gets one booking id.
func BookingID(ctx context.Context, entry string) (string, error) {
	var answer struct {
		BookingIDs []string   `json:"booking_ids"`
		Error      *CallError `json:"error"`
	}
	request := struct {
		Count int `json:"count"`
	}{1}
	err := call(ctx, http.MethodPost, entry+"/v1/booking-ids", "", request, &answer)
	switch {
	case err != nil:
		return "", err
	case answer.Error != nil:
		return "", answer.Error
	case len(answer.BookingIDs) != 1:
		return "", fmt.Errorf("got %d booking ids, want 1", len(answer.BookingIDs))
	}
	return answer.BookingIDs[0], nil
}

// call sends a request and decodes the answer, whatever its status is.
func call(ctx context.Context, method, url, requestID string, request, answer any) error {
	var body io.Reader
	if request != nil {
		raw, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		r.Header.Set("X-Request-Id", requestID)
	}
	got, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = got.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(got.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if answer == nil {
		if got.StatusCode != http.StatusOK {
			return fmt.Errorf("%s %s: status %d: %s", method, url, got.StatusCode, raw)
		}
		return nil
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fmt.Errorf("%s %s: status %d: %w", method, url, got.StatusCode, err)
	}
	return nil
}
