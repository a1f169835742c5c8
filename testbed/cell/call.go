package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"galenadyke.dev/ctl/client"
	"galenadyke.dev/testbed/target"
)

const (
	// maxAnswerBytes bounds what is read of a control endpoint's answer.
	maxAnswerBytes = 16 << 20
	// controlTimeout bounds a call of a control endpoint.
	controlTimeout = 10 * time.Second
)

// Search sends a search to the instance.
func (in *Instance) Search(ctx context.Context, requestID, query string, budget time.Duration) (*client.SearchAnswer, error) {
	return in.caller.Search(ctx, requestID, client.SearchRequest{
		Route: SearchRoute, Query: json.RawMessage(query), DeadlineMS: budget.Milliseconds(),
	})
}

// Book sends a booking to the instance.
func (in *Instance) Book(ctx context.Context, bookingID, booking string, budget time.Duration) (*client.BookAnswer, error) {
	return in.caller.Book(ctx, "", client.BookRequest{
		Route: BookingRoute, BookingID: bookingID, Booking: json.RawMessage(booking), DeadlineMS: budget.Milliseconds(),
	})
}

// BookingID gets one booking id from the instance.
func (in *Instance) BookingID(ctx context.Context) (string, error) {
	answer, err := in.caller.BookingIDs(ctx, 1)
	if err != nil {
		return "", err
	}
	if len(answer.IDs) != 1 {
		return "", fmt.Errorf("got %d booking ids, want 1", len(answer.IDs))
	}
	return answer.IDs[0], nil
}

// Status reads the status of the instance.
func (in *Instance) Status(ctx context.Context) (*client.Status, error) { return in.caller.Status(ctx) }

// ResultOf decodes what a target answered.
func ResultOf(raw json.RawMessage) (target.Result, error) {
	var r target.Result
	err := json.Unmarshal(raw, &r)
	return r, err
}

// call uses a control endpoint. The request and the answer may be nil.
func call(ctx context.Context, method, url string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, raw := io.Reader(http.NoBody), []byte(nil)
	if request != nil {
		var err error
		if raw, err = json.Marshal(request); err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	return callRaw(ctx, method, url, body, answer)
}

func callRaw(ctx context.Context, method, url string, body io.Reader, answer any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	got, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = got.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(got.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return err
	case got.StatusCode != http.StatusOK:
		return fmt.Errorf("%s %s: status %d: %s", method, url, got.StatusCode, raw)
	case answer == nil:
		return nil
	}
	return json.Unmarshal(raw, answer)
}
