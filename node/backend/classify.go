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

// classifyError fills in the reply to a request that got no answer.
//
// The request did not run if no byte of it was written. After the first byte
// the target may have read it all, so that nothing is known.
func classifyError(reply *model.TargetReply, ctx context.Context, x *exchange, err error) {
	written := x.started.Load()
	reply.Execution = model.NotRun
	if written {
		reply.Execution = model.Unknown
	}
	switch {
	case errors.Is(err, errLate), errors.Is(ctx.Err(), context.DeadlineExceeded):
		reply.Error = model.KindDeadline
	case ctx.Err() != nil:
		reply.Error = model.KindCancelled
	default:
		reply.Error = model.KindTargetConnection
		reply.Reset = isReset(err, written)
	}
}

// isReset reports whether the error says that the target refused or broke the
// connection. A kept-alive connection that the target closed while it was idle
// gives EOF before a write, which is no sign of a restart.
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

// readAnswer fills in the reply from an answer:
//
//	200, well formed            complete, Ran
//	503 or 409 with not_run     TargetShed or VersionGone, NotRun
//	any other, also redirects   TargetAnswer, Unknown
//	broken body                 as in classifyError, Unknown
func (b *Backend) readAnswer(ctx context.Context, reply *model.TargetReply, out model.SendTarget, x *exchange, resp *http.Response) {
	defer resp.Body.Close()
	raw, err := readAll(resp.Body, resp.ContentLength, MaxAnswerBytes)
	switch {
	case errors.Is(err, errTooLarge):
		reply.Error = model.KindTargetAnswer
		return
	case err != nil:
		classifyError(reply, ctx, x, err)
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
		refuse(reply, model.KindTargetShed, raw)
	case http.StatusConflict:
		refuse(reply, model.KindVersionGone, raw)
	default:
		reply.Error = model.KindTargetAnswer
	}
}

// refuse takes over a refusal that states that nothing was executed.
func refuse(reply *model.TargetReply, kind model.Kind, raw []byte) {
	answer, notRun := decodeRefusal(raw)
	reply.Answer = answer
	if !notRun {
		reply.Error = model.KindTargetAnswer
		return
	}
	reply.Error, reply.Execution = kind, model.NotRun
}
