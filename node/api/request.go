package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"galenadyke.dev/core/model"
	"galenadyke.dev/node/memory"
)

const (
	// maxEnvelopeBytes bounds the size of a request beyond its query or booking.
	maxEnvelopeBytes = 4 << 10
	// maxDeadline keeps a deadline within the range of time.Duration. The core
	// checks the published limit.
	maxDeadline = 24 * time.Hour
	// bodyReadTimeout bounds the time to read the body of a request.
	bodyReadTimeout = 10 * time.Second
	// refusedBodyTime bounds the time to read the rest of a body after a refusal.
	refusedBodyTime = time.Second
	// bodyCopies is the number of copies of a body beside the one that is read: decoded, and
	// sent to targets.
	bodyCopies = 2
	// maxRequestIDBytes bounds the request id, which is sent with each sub-request.
	maxRequestIDBytes = 128
	// maxBookingIDs bounds count in POST /v1/booking-ids.
	maxBookingIDs = 1000
)

// requestID returns the X-Request-Id of the caller if it has at most
// maxRequestIDBytes of printable ASCII without spaces, and a new id otherwise. The
// id is copied to headers, log lines and protobuf strings, where other bytes are
// not safe.
func requestID(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxRequestIDBytes {
		return uuid.NewString()
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return uuid.NewString()
		}
	}
	return id
}

// readBody reads a request of at most limit bytes and decodes it into dst. It
// refuses unknown fields, because a misspelt field would be silently ignored. The memory of
// the request is released when the call ends.
func (c *call) readBody(limit int, dst any) *model.Error {
	// The read deadline is removed after the body. Otherwise it would end the wait
	// for the answer as if the caller had disconnected. A ResponseWriter without a
	// connection has no read deadline, so the errors are ignored.
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	c.hold = c.s.cfg.Memory.Hold(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	raw, err := memory.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(limit)), c.r.ContentLength, int64(limit), c.hold)
	if err == nil {
		err = c.hold.Grow(int64(bodyCopies * len(raw)))
	}
	if err != nil {
		// After the answer net/http reads the rest of the body.
		_ = controller.SetReadDeadline(time.Now().Add(refusedBodyTime))
	} else {
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	var exceeded *memory.ExceededError
	if errors.As(err, &exceeded) {
		c.w.Header().Set("Connection", "close")
		return refusal(model.KindTooManyCalls, "the instance has no memory for the request; send it again later")
	}
	if errors.As(err, &tooLarge) || errors.Is(err, memory.ErrTooLong) {
		c.w.Header().Set("Connection", "close")
		return refusal(model.KindBodyTooLarge, fmt.Sprintf("the request is larger than %d bytes; send less, or raise max_body_bytes of the published limits", limit))
	}
	if err != nil {
		return refusal(model.KindBadRequest, "the request body ended early: "+err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return refusal(model.KindBadRequest, "the request is not the JSON form of this call: "+err.Error())
	}
	if _, err := dec.Token(); err != io.EOF {
		return refusal(model.KindBadRequest, "data follows the JSON object; send one object")
	}
	return nil
}

// parseDeadline converts deadline_ms to a duration and checks its range.
func parseDeadline(ms *float64) (time.Duration, *model.Error) {
	switch {
	case ms == nil:
		return 0, refusal(model.KindNoDeadline, "deadline_ms is missing; each call needs a deadline")
	case !(*ms > 0):
		return 0, refusal(model.KindBadRequest, "deadline_ms must be above 0")
	case *ms > float64(maxDeadline.Milliseconds()):
		return 0, refusal(model.KindDeadlineTooLong, fmt.Sprintf("deadline_ms is over %d", maxDeadline.Milliseconds()))
	}
	return time.Duration(*ms * float64(time.Millisecond)), nil
}

func checkRoute(route string) *model.Error {
	if route == "" {
		return refusal(model.KindBadRequest, "route is missing; name a published route")
	}
	return nil
}

// checkValue checks that a field is present and has at most limit bytes. JSON null
// counts as present.
func checkValue(name string, value json.RawMessage, limit int) *model.Error {
	if value == nil {
		return refusal(model.KindBadRequest, name+" is missing")
	}
	if len(value) > limit {
		return refusal(model.KindBodyTooLarge, fmt.Sprintf("%s is larger than %d bytes; send less, or raise max_body_bytes of the published limits", name, limit))
	}
	return nil
}
