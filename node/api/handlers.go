package api

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/node/telemetry"
)

// call is one call from its arrival to its answer.
type call struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	name    string
	id      string // request id
	arrived time.Time
}

func (s *Server) arrive(w http.ResponseWriter, r *http.Request, name string) call {
	return call{s: s, w: w, r: r, name: name, id: requestID(r), arrived: time.Now()}
}

// refuse answers without asking the core.
func (c *call) refuse(e *model.Error) { c.s.refuse(c.w, c.id, statusOf(e), e) }

// ask asks the core within the budget, which counts from the arrival.
func (c *call) ask(budget time.Duration, input func(id model.CallID, left time.Duration, trace string) model.Input) (model.Output, func(model.Kind), error) {
	trace, endSpan := c.s.cfg.Spans.Call(c.r.Header.Get("Traceparent"), c.name, c.id)
	c.s.cfg.Metrics.CallStarted()
	end := func(kind model.Kind) {
		c.s.cfg.Metrics.CallEnded(c.name, kind, time.Since(c.arrived))
		endSpan(kind)
	}
	left := budget - time.Since(c.arrived)
	if left <= 0 {
		return nil, end, refusal(model.KindDeadline, "the deadline passed while the request was read")
	}
	out, err := c.s.calls.ask(c.r.Context(), c.s.cfg.Submit, left+answerGrace, func(id model.CallID) model.Input {
		return input(id, left, trace)
	})
	return out, end, err
}

// answer ends a call with the error, or else with the answer.
func (c *call) answer(end func(model.Kind), e *model.Error, success func() any) {
	if e != nil {
		writeError(c.w, c.id, statusOf(e), e)
		end(e.Kind)
		return
	}
	c.w.Header().Set("X-Request-Id", c.id)
	writeJSON(c.w, http.StatusOK, success())
	end(model.KindNone)
}

// expect returns the core's answer as the type that the call must get, or the
// error of ask.
func expect[T model.Output](out model.Output, err error) (T, *model.Error) {
	answer, ok := out.(T)
	if err != nil || !ok {
		return answer, asError(err)
	}
	return answer, nil
}

// asError turns what ask returns into a typed error.
func asError(err error) *model.Error {
	var e *model.Error
	if errors.As(err, &e) {
		return e
	}
	return &model.Error{Kind: model.KindDeadline, Execution: model.Unknown, Message: "this instance gave an answer of another kind; report it with the output of GET /v1/trace"}
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	c := s.arrive(w, r, telemetry.CallSearch)
	var req searchRequest
	limit := int(s.bodyLimit.Load())
	if e := readBody(w, r, limit+envelopeBytes, &req); e != nil {
		c.refuse(e)
		return
	}
	allowed, e := budget(req.DeadlineMs)
	if e = first(e, needRoute(req.Route), needValue("query", req.Query, limit)); e != nil {
		c.refuse(e)
		return
	}
	c.runSearch(req, allowed)
}

func (c *call) runSearch(req searchRequest, budget time.Duration) {
	out, end, err := c.ask(budget, func(id model.CallID, left time.Duration, trace string) model.Input {
		return model.SearchCall{Call: id, RequestID: c.id, Route: model.RouteID(req.Route), Budget: left, Body: req.Query, Trace: trace}
	})
	answer, e := expect[model.SearchAnswer](out, err)
	if e == nil {
		c.s.cfg.Metrics.SearchAnswered(&answer)
		e = answer.Error
	}
	c.answer(end, e, func() any { return searchForm(c.id, answer, time.Since(c.arrived)) })
}

func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	c := s.arrive(w, r, telemetry.CallBook)
	var req bookRequest
	limit := int(s.bodyLimit.Load())
	if e := readBody(w, r, limit+envelopeBytes, &req); e != nil {
		c.refuse(e)
		return
	}
	allowed, e := budget(req.DeadlineMs)
	id, err := model.ParseBookingID(req.BookingID)
	var badID *model.Error
	if err != nil {
		badID = asError(err)
	}
	if e = first(e, needRoute(req.Route), badID, needValue("booking", req.Booking, limit)); e != nil {
		c.refuse(e)
		return
	}
	c.runBook(req, id, allowed)
}

func (c *call) runBook(req bookRequest, booking model.BookingID, budget time.Duration) {
	out, end, err := c.ask(budget, func(id model.CallID, left time.Duration, trace string) model.Input {
		return model.BookCall{Call: id, RequestID: c.id, Booking: booking, Route: model.RouteID(req.Route), Budget: left, Body: req.Booking, Trace: trace}
	})
	answer, e := expect[model.BookAnswer](out, err)
	c.answer(end, first(e, answer.Error), func() any {
		return bookResponse{RequestID: c.id, BookingID: req.BookingID, Execution: model.Ran.String(), Target: answer.Target,
			Repeat: answer.Repeat, Result: json.RawMessage(answer.Body), ElapsedMs: milliseconds(time.Since(c.arrived))}
	})
}

func (s *Server) bookingIDs(w http.ResponseWriter, r *http.Request) {
	c := s.arrive(w, r, telemetry.CallBookingIDs)
	var req bookingIDsRequest
	if e := readBody(w, r, envelopeBytes, &req); e != nil {
		c.refuse(e)
		return
	}
	if req.Count == nil || *req.Count < 1 || *req.Count > maxBookingIDs {
		c.refuse(refusal(model.KindBadRequest, "count must be 1 to 1000"))
		return
	}
	out, end, err := c.ask(statusTimeout, func(id model.CallID, _ time.Duration, _ string) model.Input {
		return model.IssueBookingIDs{Call: id, Count: *req.Count}
	})
	answer, e := expect[model.BookingIDs](out, err)
	c.answer(end, first(e, answer.Error), func() any {
		ids := make([]string, len(answer.IDs))
		for i, id := range answer.IDs {
			ids[i] = id.String()
		}
		return bookingIDsResponse{BookingIDs: ids, ValidMs: answer.Valid.Milliseconds()}
	})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	c := s.arrive(w, r, telemetry.CallStatus)
	out, end, err := c.ask(statusTimeout, func(id model.CallID, _ time.Duration, _ string) model.Input {
		return model.StatusCall{Call: id}
	})
	answer, e := expect[model.Status](out, err)
	c.answer(end, e, func() any { return statusForm(s.cfg.Core, answer) })
}

// first returns the first error.
func first(errs ...*model.Error) *model.Error {
	for _, e := range errs {
		if e != nil {
			return e
		}
	}
	return nil
}
