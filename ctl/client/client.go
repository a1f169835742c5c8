package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
	// maxIdleConnections bounds the idle connections kept for reuse.
	maxIdleConnections = 64
	// answerGrace is how long after its deadline a call still waits for the answer.
	answerGrace = 2 * time.Second
	// defaultTimeout bounds a call that carries no deadline.
	defaultTimeout = 5 * time.Second
)

// Client calls one instance. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the instance at address, an IP address with a port above
// 0. Host names are refused.
func New(address string) (*Client, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return nil, fmt.Errorf("%q is not an IP address with a port above 0, such as 127.0.0.1:8080", address)
	}
	return &Client{
		base: "http://" + parsed.String(),
		http: &http.Client{
			// No proxy and no redirects: either could send a booking a
			// second time.
			Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdleConnections},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close closes the idle connections. It does not stop calls in flight.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Search runs a search. If requestID is empty, the instance assigns one.
func (c *Client) Search(ctx context.Context, requestID string, req SearchRequest) (*SearchAnswer, error) {
	return post[SearchAnswer](ctx, c, "/v1/search", requestID, req, callTimeout(req.DeadlineMS))
}

// Book runs a booking. Repeating the call with the same booking id never runs
// the booking twice. If requestID is empty, the instance assigns one.
func (c *Client) Book(ctx context.Context, requestID string, req BookRequest) (*BookAnswer, error) {
	return post[BookAnswer](ctx, c, "/v1/book", requestID, req, callTimeout(req.DeadlineMS))
}

// BookingIDs gets count unused booking ids. It fails if the instance issues a
// different number of ids.
func (c *Client) BookingIDs(ctx context.Context, count int) (*BookingIDs, error) {
	answer, err := post[BookingIDs](ctx, c, "/v1/booking-ids", "", bookingIDsRequest{Count: count}, defaultTimeout)
	if err == nil && len(answer.IDs) != count {
		return nil, &Error{
			Kind: KindTransport, Execution: NotRun,
			Message: fmt.Sprintf("asked for %d booking ids, got %d; repeat the call", count, len(answer.IDs)),
		}
	}
	return answer, err
}

// Status reads the state of the instance.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", "", nil, defaultTimeout)
}

// callTimeout returns the timeout of a call whose deadline is deadlineMS
// milliseconds.
func callTimeout(deadlineMS int64) time.Duration {
	return time.Duration(deadlineMS)*time.Millisecond + answerGrace
}

// post sends request as JSON. Its errors are of type *Error.
func post[Answer any](ctx context.Context, c *Client, path, requestID string, request any, timeout time.Duration) (*Answer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &Error{Kind: KindTransport, Execution: NotRun, Message: "the request is not valid JSON: " + err.Error()}
	}
	return call[Answer](ctx, c, http.MethodPost, path, requestID, body, timeout)
}

// call sends one request and decodes the answer. Its errors are of type *Error.
func call[Answer any](ctx context.Context, c *Client, method, path, requestID string, body []byte, timeout time.Duration) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Kind: KindTransport, Execution: NotRun, Message: err.Error()}
	}
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if requestID != "" {
		req.Header.Set("X-Request-Id", requestID)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err, requestID)
	}
	defer resp.Body.Close()
	raw, err := readAnswer(resp.Body)
	if err != nil {
		return nil, &Error{Kind: KindTransport, Execution: Unknown, Message: "read answer: " + err.Error(), RequestID: requestID}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeError(resp.Status, raw, requestID)
	}
	var answer Answer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return nil, &Error{Kind: KindTransport, Execution: Unknown, Message: "decode answer: " + err.Error(), RequestID: requestID}
	}
	return &answer, nil
}

// sendError returns the error of a request without an answer. The request counts as
// not run only if no connection was established.
func sendError(err error, requestID string) *Error {
	execution := Unknown
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		execution = NotRun
	}
	return &Error{Kind: KindTransport, Execution: execution, Message: err.Error(), RequestID: requestID}
}

func readAnswer(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err == nil && len(raw) > maxAnswerBytes {
		err = errors.New("the answer is too large")
	}
	return raw, err
}

// decodeError decodes the error that an instance returned. If the answer has
// another form, for example because it comes from a balancer, the execution is
// unknown.
func decodeError(status string, raw []byte, requestID string) *Error {
	var answer errorAnswer
	err := json.Unmarshal(raw, &answer)
	if err != nil || answer.Error.Kind == "" {
		return &Error{
			Kind: KindTransport, Execution: Unknown, RequestID: requestID,
			Message: fmt.Sprintf("the answer is %s without an error of the tier; check the address", status),
		}
	}
	answer.Error.RequestID = answer.RequestID
	switch answer.Error.Execution {
	case NotRun, Ran:
	default:
		answer.Error.Execution = Unknown
	}
	return &answer.Error
}
