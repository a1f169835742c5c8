package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/core/model"
	"galenadyke.dev/node/memory"
)

const (
	// maxSyncWriteBytes is the largest body that is written completely before the answer
	// is read. A longer body is written while the answer is read, as the target may
	// answer before it has read the body.
	maxSyncWriteBytes = 8 << 10
	// maxStaleReplies bounds the answers to earlier requests that are skipped on a
	// connection during an attempt.
	maxStaleReplies = 2
)

// reply is a complete answer from a target.
type reply struct {
	status int
	header http.Header
	body   []byte
	hold   *memory.Hold // the memory of body
}

// attempt is an attempt in flight.
type attempt struct {
	out gateway.SendAttempt
	req *callerRequest
	// traceparent identifies the span of the attempt, empty if spans are not exported.
	traceparent string

	mu        sync.Mutex // guards the fields below
	cancelled bool
	conn      *conn
}

// attach sets the connection that cancel interrupts, nil for none. It reports false if the
// attempt was cancelled before.
func (a *attempt) attach(conn *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.cancelled
}

// cancel interrupts the exchange by setting a connection deadline in the past.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil {
		_ = a.conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

func (a *attempt) wasCancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}

// upstream sends attempts to targets. Each attempt is written at most once.
type upstream struct {
	protocol Protocol
	pools    *pools
	bodies   *memory.Budget
	bootTime func() time.Duration // returns the time of the Boot clock
	// overBound is called when an answer exceeds a bound.
	overBound func(model.TargetID, *boundError)
}

// do performs an attempt. The reply is nil if there is no complete answer.
func (u *upstream) do(a *attempt) (gateway.AttemptEnded, *reply) {
	ended := gateway.AttemptEnded{Attempt: a.out.Attempt, Outcome: gateway.OutcomeNotSent}
	remaining := a.out.Deadline - u.bootTime()
	if remaining <= 0 {
		ended.Cause = "the deadline passed before the attempt was sent"
		return ended, nil
	}
	key := poolKey{string(a.out.Target), a.out.Address}
	conn := u.pools.get(key)
	if ended.Reused = conn != nil; conn == nil {
		started := u.bootTime()
		var err error
		if conn, err = u.pools.dial(a.out.Address, remaining); err != nil {
			ended.Cause, ended.ConnectRefused = err.Error(), errors.Is(err, syscall.ECONNREFUSED)
			return ended, nil
		}
		ended.Connect = u.bootTime() - started
	}
	if !a.attach(conn) {
		u.pools.put(key, conn)
		ended.Cause = "cancelled before it was sent"
		return ended, nil
	}
	_ = conn.SetDeadline(time.Now().Add(a.out.Deadline - u.bootTime())) // fails only on a closed connection, on which the write fails as well
	r, keep := u.exchange(a, conn, &ended)
	if keep && a.attach(nil) {
		conn.setUsableUntil(r.header)
		_ = conn.SetDeadline(time.Time{})
		u.pools.put(key, conn)
	} else {
		conn.Close()
	}
	return ended, r
}

// probe opens a connection to a target and keeps it for requests.
func (u *upstream) probe(out gateway.ProbeTarget) gateway.ProbeResult {
	conn, err := u.pools.dial(out.Address, out.Timeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return gateway.ProbeRefused
	case err != nil:
		return gateway.ProbeFailed
	}
	u.pools.put(poolKey{string(out.Target), out.Address}, conn)
	return gateway.ProbeConnected
}

// exchange writes the request, reads the answer and sets the outcome in ended. keep reports
// whether the connection can be used for another request.
func (u *upstream) exchange(a *attempt, conn *conn, ended *gateway.AttemptEnded) (r *reply, keep bool) {
	written, n, err := u.writeRequest(a, conn)
	if err != nil {
		if n > 0 {
			ended.Outcome = gateway.OutcomeBroken
		}
		ended.Cause = err.Error()
		return nil, false
	}
	r, headers, reusable, err := u.readReply(a, conn)
	var over *boundError
	if errors.As(err, &over) {
		u.overBound(a.out.Target, over)
	}
	if err != nil {
		ended.Outcome, ended.Cause = gateway.OutcomeBroken, err.Error()
		var timeout net.Error
		if a.wasCancelled() || (errors.As(err, &timeout) && timeout.Timeout()) {
			ended.Outcome = gateway.OutcomeTimedOut
		}
		return nil, false
	}
	u.classify(a, ended, r, headers)
	select {
	case err := <-written:
		return r, reusable && err == nil && conn.br.Buffered() == 0
	default:
		return r, false // the target answered before the whole body was written
	}
}

// writeRequest writes the request. A body of more than maxSyncWriteBytes is written in a
// goroutine. n is the number of bytes written before writeRequest returns, err the error of
// these writes. If err is nil, written receives the result of writing the body.
func (u *upstream) writeRequest(a *attempt, conn *conn) (written <-chan error, n int, err error) {
	head := make([]byte, 0, len(a.req.head)+256)
	head = append(head, a.req.head...)
	head = u.protocol.AppendAttempt(head, gateway.AttemptHeaders{Remaining: a.out.CallerDeadline - u.bootTime(), Target: a.out.Target})
	if a.traceparent != "" {
		head = append(head, traceparentHeader+": "+a.traceparent+"\r\n"...)
	}
	head = append(head, "\r\n"...)
	done := make(chan error, 1)
	if len(a.req.body) <= maxSyncWriteBytes {
		n, err = conn.Write(append(head, a.req.body...))
		done <- err
		return done, n, err
	}
	if n, err = conn.Write(head); err != nil {
		return done, n, err
	}
	go func() {
		_, err := conn.Write(a.req.body)
		done <- err
	}()
	return done, n, nil
}

// errForeignReply is the error of an exchange in which all answers belong to other
// requests.
var errForeignReply = errors.New("the answer belongs to another request")

// readReply reads the answer to the attempt and skips late answers to earlier requests.
// reusable is false if the target closes the connection or if answers were skipped.
func (u *upstream) readReply(a *attempt, conn *conn) (r *reply, headers gateway.ReplyHeaders, reusable bool, err error) {
	for stale := range 1 + maxStaleReplies {
		resp, err := readFinalResponse(conn, a.req.method)
		if err != nil {
			return nil, headers, false, err
		}
		limit := int64(maxReplyBytes)
		if a.out.Gather {
			limit = maxPartBytes
		}
		// The body is not closed after an error, as closing reads the rest of it.
		hold := u.bodies.Hold(func() { conn.Close() })
		body, err := readBody(resp.Body, resp.ContentLength, limit, hold)
		if err != nil {
			hold.Release()
			return nil, headers, false, err
		}
		headers = u.protocol.ParseReply(resp.Header)
		foreign := headers.AttemptID != a.req.caller.AttemptID
		if headers.AttemptID == "" {
			foreign = conn.identifies
		}
		if foreign {
			hold.Release()
			if resp.Close {
				break
			}
			continue
		}
		conn.identifies = conn.identifies || headers.AttemptID != ""
		r = &reply{status: resp.StatusCode, header: resp.Header, body: body, hold: hold}
		return r, headers, !resp.Close && stale == 0, nil
	}
	return nil, headers, false, errForeignReply
}

// readFinalResponse reads the head of the next answer that is not informational (1xx).
func readFinalResponse(conn *conn, method string) (*http.Response, error) {
	conn.in.left = maxReplyHeadBytes
	defer func() { conn.in.left = unlimited }()
	for range 1 + maxInformational {
		resp, err := http.ReadResponse(conn.br, &http.Request{Method: method})
		if err != nil && conn.in.left <= 0 {
			// net/http may report the line that was cut off instead.
			return nil, &boundError{boundHead, maxReplyHeadBytes}
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("status %03d is not an answer", resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, &boundError{boundInformational, maxInformational}
}

// classify sets the outcome of a complete answer in ended.
func (u *upstream) classify(a *attempt, ended *gateway.AttemptEnded, r *reply, headers gateway.ReplyHeaders) {
	ended.Status = r.status
	ended.Load, ended.HasLoad, ended.ColdFor, ended.HasCold = headers.Load, headers.HasLoad, headers.ColdFor, headers.HasCold
	ended.RateLimit, ended.HasRateLimit = headers.RateLimit, headers.HasRateLimit
	// Another target that has the address says nothing of this one.
	ended.Leaving = headers.Leaving && r.status != http.StatusMisdirectedRequest
	if r.status == http.StatusServiceUnavailable {
		ended.Pause = headers.RetryAfter
	}
	switch {
	case r.status == http.StatusMisdirectedRequest:
		ended.Outcome, ended.Cause = gateway.OutcomeMisdirected, "another target has the address"
	case headers.NotExecuted && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests):
		ended.Outcome, ended.Cause = gateway.OutcomeShed, "the target is full"
	case headers.NotExecuted:
		ended.Outcome, ended.Cause = gateway.OutcomeRejected, fmt.Sprintf("rejected with status %d", r.status)
	case r.status >= 300:
		ended.Outcome, ended.Cause = gateway.OutcomeFailure, fmt.Sprintf("failed with status %d", r.status)
	case headers.Stamp == "" || r.header.Get("Content-Encoding") != "":
		ended.Outcome, ended.Cause = gateway.OutcomeBroken, "the answer has no stamp or is encoded"
	default:
		ended.Outcome = gateway.OutcomeSuccess
		if a.out.Gather {
			ended.Part = gateway.Part{Stamp: headers.Stamp, Records: r.body}
		}
	}
}
