package api

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/node/memory"
	"galenadyke.dev/node/telemetry"
)

// call is one HTTP call from its arrival to its answer.
type call struct {
	s         *Server
	w         http.ResponseWriter
	r         *http.Request
	name      string // kind of call, such as telemetry.CallSearch
	id        string // request id
	arrivedAt time.Time
	hold      *memory.Hold // the memory of the body, nil without one
}

// release gives back the memory of the call.
func (c *call) release() {
	if c.hold != nil {
		c.hold.Release()
	}
}

func (s *Server) newCall(w http.ResponseWriter, r *http.Request, name string) call {
	return call{s: s, w: w, r: r, name: name, id: requestID(r), arrivedAt: time.Now()}
}

// refuse answers a call that was not passed to the core.
func (c *call) refuse(e *model.Error) { c.s.refuse(c.w, c.id, statusOf(e), e) }

// callCore passes the call to the core and waits for the answer. The budget counts
// from the arrival of the call. The returned function records the end of the call
// in metrics and spans; the caller must call it.
func (c *call) callCore(budget time.Duration, newInput func(id model.CallID, remaining time.Duration, trace string) model.Input) (model.Output, func(model.Kind), error) {
	trace, endSpan := c.s.cfg.Spans.StartCall(c.r.Header.Get("Traceparent"), c.name, c.id)
	c.s.cfg.Metrics.CallStarted()
	end := func(kind model.Kind) {
		c.s.cfg.Metrics.CallEnded(c.name, kind, time.Since(c.arrivedAt))
		endSpan(kind)
	}
	remaining := budget - time.Since(c.arrivedAt)
	if remaining <= 0 {
		return nil, end, refusal(model.KindDeadline, "the deadline passed while the request was read")
	}
	out, err := c.s.calls.wait(c.r.Context(), c.s.cfg.Submit, remaining+answerGrace, func(id model.CallID) model.Input {
		return newInput(id, remaining, trace)
	})
	return out, end, err
}

// respond writes the error, or the result of newResponse if there is none, and ends the
// call.
func (c *call) respond(end func(model.Kind), e *model.Error, newResponse func() any) {
	if e != nil {
		writeError(c.w, c.id, statusOf(e), e)
		end(e.Kind)
		return
	}
	c.w.Header().Set("X-Request-Id", c.id)
	writeJSON(c.w, http.StatusOK, newResponse())
	end(model.KindNone)
}

// answerAs returns the core's answer as type T, or the error of callCore.
func answerAs[T model.Output](out model.Output, err error) (T, *model.Error) {
	answer, ok := out.(T)
	if err != nil || !ok {
		return answer, asError(err)
	}
	return answer, nil
}

// asError returns err as a *model.Error. Any other value, nil included, means that
// the core's answer had the wrong type.
func asError(err error) *model.Error {
	var e *model.Error
	if errors.As(err, &e) {
		return e
	}
	return &model.Error{Kind: model.KindDeadline, Execution: model.Unknown, Message: "this instance gave an answer of another kind; report it with the output of GET /v1/trace"}
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r, telemetry.CallSearch)
	defer c.release()
	var req searchRequest
	limit := int(s.bodyLimit.Load())
	if e := c.readBody(limit+maxEnvelopeBytes, &req); e != nil {
		c.refuse(e)
		return
	}
	budget, e := parseDeadline(req.DeadlineMs)
	if e = firstError(e, checkRoute(req.Route), checkValue("query", req.Query, limit)); e != nil {
		c.refuse(e)
		return
	}
	c.runSearch(req, budget)
}

func (c *call) runSearch(req searchRequest, budget time.Duration) {
	out, end, err := c.callCore(budget, func(id model.CallID, remaining time.Duration, trace string) model.Input {
		return model.SearchCall{Call: id, RequestID: c.id, Route: model.RouteID(req.Route), Budget: remaining, Body: req.Query, Trace: trace}
	})
	answer, e := answerAs[model.SearchAnswer](out, err)
	if e == nil {
		c.s.cfg.Metrics.SearchAnswered(&answer)
		e = answer.Error
	}
	c.respond(end, e, func() any { return newSearchResponse(c.id, answer, time.Since(c.arrivedAt)) })
}

func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r, telemetry.CallBook)
	defer c.release()
	var req bookRequest
	limit := int(s.bodyLimit.Load())
	if e := c.readBody(limit+maxEnvelopeBytes, &req); e != nil {
		c.refuse(e)
		return
	}
	budget, e := parseDeadline(req.DeadlineMs)
	id, err := model.ParseBookingID(req.BookingID)
	var badID *model.Error
	if err != nil {
		badID = asError(err)
	}
	if e = firstError(e, checkRoute(req.Route), badID, checkValue("booking", req.Booking, limit)); e != nil {
		c.refuse(e)
		return
	}
	c.runBook(req, id, budget)
}

func (c *call) runBook(req bookRequest, booking model.BookingID, budget time.Duration) {
	out, end, err := c.callCore(budget, func(id model.CallID, remaining time.Duration, trace string) model.Input {
		return model.BookCall{Call: id, RequestID: c.id, Booking: booking, Route: model.RouteID(req.Route), Budget: remaining, Body: req.Booking, Trace: trace}
	})
	answer, e := answerAs[model.BookAnswer](out, err)
	c.respond(end, firstError(e, answer.Error), func() any {
		return bookResponse{RequestID: c.id, BookingID: req.BookingID, Execution: model.Ran.String(), Target: answer.Target,
			Repeat: answer.Repeat, Result: json.RawMessage(answer.Body), ElapsedMs: milliseconds(time.Since(c.arrivedAt))}
	})
}

func (s *Server) bookingIDs(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r, telemetry.CallBookingIDs)
	defer c.release()
	var req bookingIDsRequest
	if e := c.readBody(maxEnvelopeBytes, &req); e != nil {
		c.refuse(e)
		return
	}
	if req.Count == nil || *req.Count < 1 || *req.Count > maxBookingIDs {
		c.refuse(refusal(model.KindBadRequest, "count must be 1 to 1000"))
		return
	}
	out, end, err := c.callCore(defaultCallTimeout, func(id model.CallID, _ time.Duration, _ string) model.Input {
		return model.IssueBookingIDs{Call: id, Count: *req.Count}
	})
	answer, e := answerAs[model.BookingIDs](out, err)
	c.respond(end, firstError(e, answer.Error), func() any {
		ids := make([]string, len(answer.IDs))
		for i, id := range answer.IDs {
			ids[i] = id.String()
		}
		return bookingIDsResponse{BookingIDs: ids, ValidMs: answer.Valid.Milliseconds()}
	})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r, telemetry.CallStatus)
	out, end, err := c.callCore(defaultCallTimeout, func(id model.CallID, _ time.Duration, _ string) model.Input {
		return model.StatusCall{Call: id}
	})
	answer, e := answerAs[model.Status](out, err)
	c.respond(end, e, func() any { return newStatusResponse(s.cfg.Core, answer) })
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs ...*model.Error) *model.Error {
	for _, e := range errs {
		if e != nil {
			return e
		}
	}
	return nil
}
