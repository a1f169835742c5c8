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
	// maxAnswerBytes bounds an answer from a control endpoint.
	maxAnswerBytes = 16 << 20
	// controlTimeout bounds one call to a control endpoint, except PublishRaw.
	controlTimeout = 10 * time.Second
)

// Search sends a search to the instance. The query is JSON text; the deadline
// is rounded down to milliseconds.
func (in *Instance) Search(ctx context.Context, requestID, query string, deadline time.Duration) (*client.SearchAnswer, error) {
	return in.caller.Search(ctx, requestID, client.SearchRequest{
		Route: SearchRoute, Query: json.RawMessage(query), DeadlineMS: deadline.Milliseconds(),
	})
}

// Book sends a booking to the instance. The booking is JSON text; the deadline
// is rounded down to milliseconds.
func (in *Instance) Book(ctx context.Context, bookingID, booking string, deadline time.Duration) (*client.BookAnswer, error) {
	return in.caller.Book(ctx, "", client.BookRequest{
		Route: BookingRoute, BookingID: bookingID, Booking: json.RawMessage(booking), DeadlineMS: deadline.Milliseconds(),
	})
}

// BookingID requests one new booking id from the instance.
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

// ResultOf decodes the result in an answer from a target stand-in.
func ResultOf(raw json.RawMessage) (target.Result, error) {
	var r target.Result
	err := json.Unmarshal(raw, &r)
	return r, err
}

// call sends a request to a control endpoint as JSON and decodes the answer into
// answer. If request is nil, the body is empty; if answer is nil, the body of the
// answer is ignored.
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

// callRaw sends a request with the given body and decodes the JSON answer into
// answer, unless answer is nil. A status other than 200 is an error.
func callRaw(ctx context.Context, method, url string, body io.Reader, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, raw)
	case answer == nil:
		return nil
	}
	return json.Unmarshal(raw, answer)
}
