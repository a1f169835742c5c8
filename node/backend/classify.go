package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"

	"galenadyke.dev/core/model"
)

var errStatus = errors.New("status is not 200")

// classifyError fills in the reply to a request without a complete answer.
//
// If no byte of the request was written, the request did not run. Once a byte was
// written, the target may have read the whole request, so the execution is unknown.
func classifyError(reply *model.TargetReply, ctx context.Context, tracker *writeTracker, err error) {
	written := tracker.writeStarted.Load()
	reply.Execution = model.NotRun
	if written {
		reply.Execution = model.Unknown
	}
	switch {
	case errors.Is(err, errDeadlineBeforeWrite), errors.Is(ctx.Err(), context.DeadlineExceeded):
		reply.Error = model.KindDeadline
	case ctx.Err() != nil:
		reply.Error = model.KindCancelled
	default:
		reply.Error = model.KindTargetConnection
		reply.Reset = isReset(err, written)
	}
}

// isReset reports whether the target refused or broke the connection, which is taken as
// a sign of a restart. EOF before the request is written is not such a sign: the target
// only closed an idle kept-alive connection.
func isReset(err error, written bool) bool {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return written
	default:
		return false
	}
}

// readAnswer fills in the reply from a response:
//
//	200, well formed             no error, Ran
//	503 or 409 with not_run      TargetShed or VersionGone, NotRun
//	any other, even a redirect   TargetAnswer, Unknown
//	body cannot be read          as in classifyError, Unknown
func (b *Backend) readAnswer(ctx context.Context, reply *model.TargetReply, out model.SendTarget, tracker *writeTracker, resp *http.Response) {
	defer resp.Body.Close()
	if c := tracker.conn.Load(); c != nil && c.isForeign(resp.Header.Get("X-Request-Id"), out.RequestID) {
		// A late copy of an earlier answer. The answer that is due comes after it, so the
		// connection must not be used again.
		_ = c.Close()
		reply.Error = model.KindTargetAnswer
		return
	}
	raw, err := readAll(resp.Body, resp.ContentLength, MaxAnswerBytes)
	switch {
	case errors.Is(err, errTooLarge):
		reply.Error = model.KindTargetAnswer
		return
	case err != nil:
		classifyError(reply, ctx, tracker, err)
		return
	}
	search := out.BookingID == ""
	switch resp.StatusCode {
	case http.StatusOK:
		answer, err := decodeAnswer(raw, search)
		if err != nil {
			reply.Error = model.KindTargetAnswer
			return
		}
		reply.Answer, reply.Execution = answer, model.Ran
	case http.StatusServiceUnavailable:
		readRefusal(reply, model.KindTargetShed, raw)
	case http.StatusConflict:
		readRefusal(reply, model.KindVersionGone, raw)
	default:
		reply.Error = model.KindTargetAnswer
	}
}

// readRefusal fills in the reply from a refusal. Unless the body states that nothing
// was executed, the error is TargetAnswer and the execution stays Unknown.
func readRefusal(reply *model.TargetReply, kind model.Kind, raw []byte) {
	answer, notRun := decodeRefusal(raw)
	reply.Answer = answer
	if !notRun {
		reply.Error = model.KindTargetAnswer
		return
	}
	reply.Error, reply.Execution = kind, model.NotRun
}
