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
)

const (
	// envelopeBytes is what a request may take beside the query or booking.
	envelopeBytes = 4 << 10
	// maxDeadline keeps a deadline within the range of a duration. The published
	// limit is checked by the core.
	maxDeadline = 24 * time.Hour
	// bodyTimeout bounds the time in which a caller sends its request.
	bodyTimeout = 10 * time.Second
	// maxRequestID bounds the id, which travels with each sub-request.
	maxRequestID = 128
	// maxBookingIDs is the largest count of POST /v1/booking-ids.
	maxBookingIDs = 1000
)

// requestID returns the caller's id if it is printable ASCII of a moderate
// length, and a new one otherwise. It becomes part of headers, log lines and
// protobuf strings, which take no other bytes.
func requestID(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxRequestID {
		return uuid.NewString()
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return uuid.NewString()
		}
	}
	return id
}

// readBody reads and decodes a request of at most limit bytes. Unknown fields
// are refused, because a misspelt one would be silently ignored.
func readBody(w http.ResponseWriter, r *http.Request, limit int, into any) *model.Error {
	// The limit on the connection is lifted again after the body, because it
	// would end the wait for an answer as if the caller had gone. A
	// ResponseWriter that is no connection has no such limit.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(model.KindBodyTooLarge, fmt.Sprintf("the request is larger than %d bytes; send less, or raise max_body_bytes of the published limits", limit))
	}
	if err != nil {
		return refusal(model.KindBadRequest, "the request body ended early: "+err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return refusal(model.KindBadRequest, "the request is not the JSON form of this call: "+err.Error())
	}
	if _, err := dec.Token(); err != io.EOF {
		return refusal(model.KindBadRequest, "data follows the JSON object; send one object")
	}
	return nil
}

// budget checks a deadline.
func budget(ms *float64) (time.Duration, *model.Error) {
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

func needRoute(route string) *model.Error {
	if route == "" {
		return refusal(model.KindBadRequest, "route is missing; name a published route")
	}
	return nil
}

// needValue checks that a field was given. JSON null is a value.
func needValue(name string, value json.RawMessage, limit int) *model.Error {
	if value == nil {
		return refusal(model.KindBadRequest, name+" is missing")
	}
	if len(value) > limit {
		return refusal(model.KindBodyTooLarge, fmt.Sprintf("%s is larger than %d bytes; send less, or raise max_body_bytes of the published limits", name, limit))
	}
	return nil
}
