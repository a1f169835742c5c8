package callers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"galenadyke.dev/node/memory"
)

const (
	// freeHeadBytes is the memory of a head that is not taken from the budget.
	freeHeadBytes = 8 << 10
	// headTextFactor is the number of copies of a head that are kept: as it is read, parsed,
	// and to be forwarded. headerLineBytes is what net/http keeps for a header line beside its
	// text.
	headTextFactor  = 3
	headerLineBytes = 256
	// readAheadBytes is what net/http may read beyond the end of a head.
	readAheadBytes = 4 << 10
	// refusalTimeout bounds the write of a refusal. lingerTime and lingerBytes bound what is
	// read after it: closing a connection with unread bytes resets it, and the caller may not
	// see the refusal.
	refusalTimeout = time.Second
	lingerTime     = 500 * time.Millisecond
	lingerBytes    = 256 << 10
)

// head is the part of the head of a request that has been read.
type head struct {
	bytes, lines int
	// begun is set once a line that is not empty has been read, and ended once the empty line
	// after the head has been read. lineText is set if the line that is being read has text.
	begun, lineText, ended bool
	// hold is the memory that the head takes, nil up to freeHeadBytes. It is kept until the
	// request has been answered. charged is its size in bytes.
	hold    *memory.Hold
	charged int64
}

// countHead counts bytes of a head. It reports false if the head exceeds a bound, after it has
// refused the request.
func (c *Conn) countHead(b []byte) bool {
	limits := &c.connections.Limits
	c.head.add(b)
	if limits.MaxHeadBytes != nil {
		if limit := limits.MaxHeadBytes(); c.head.bytes > limit+readAheadBytes {
			c.refuse(RefusedHead, http.StatusRequestHeaderFieldsTooLarge, "", fmt.Sprintf("the head may have %d bytes; send fewer or shorter headers", limit))
			return false
		}
	}
	if err := c.chargeHead(); err != nil {
		c.refuse(RefusedMemory, http.StatusServiceUnavailable, "Retry-After: 1\r\n", "the instance has no memory for the head; send it again later")
		return false
	}
	return true
}

// add counts the bytes that belong to the head.
func (h *head) add(b []byte) {
	for len(b) > 0 && !h.ended {
		line := b
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			line = b[:i+1]
			h.lines++
		}
		b = b[len(line):]
		h.bytes += len(line)
		h.addToLine(line)
	}
}

// addToLine follows the line that is being read, up to its end.
func (h *head) addToLine(part []byte) {
	text := bytes.TrimRight(part, "\r\n")
	h.lineText = h.lineText || len(text) > 0
	if part[len(part)-1] != '\n' {
		return
	}
	h.ended = h.begun && !h.lineText
	h.begun = h.begun || h.lineText
	h.lineText = false
}

// chargeHead takes the memory of the head from the budget.
func (c *Conn) chargeHead() error {
	h := &c.head
	size := int64(headTextFactor*h.bytes + headerLineBytes*h.lines)
	if c.connections.Limits.Memory == nil || size <= freeHeadBytes {
		return nil
	}
	if h.hold == nil {
		// The read fails, and net/http closes the connection.
		h.hold = c.connections.Limits.Memory.Hold(func() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) })
	}
	err := h.hold.Grow(size - h.charged)
	h.charged = size
	return err
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext is the hook http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HeadBytes returns the size on the wire of the head of the request with the context, or less
// if its begin was read together with the request before it.
func HeadBytes(ctx context.Context) int {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.headBytes
	}
	return 0
}

// headEnded is called when the connection enters a state. The memory of a head is kept during
// the request.
func (c *Conn) headEnded(state http.ConnState) {
	hold := c.head.hold
	switch state {
	case http.StateActive:
		if hold != nil {
			_ = hold.Finish() // a head that was complete when it was ended is served
		}
		c.headBytes = c.head.bytes
		c.head = head{hold: hold}
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		if hold != nil {
			hold.Release()
		}
		c.head = head{}
	}
}

// refuse answers a request whose head is still arriving, and reads a part of the rest so that
// the caller can read the answer. header is a header line with its line end, or empty.
func (c *Conn) refuse(cause Refusal, status int, header, reason string) {
	c.connections.Limits.refused(cause)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails only on a closed connection
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s\n",
		status, http.StatusText(status), len(reason)+1, header, reason)
	if err == nil {
		_ = c.CloseWrite()
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	_ = c.Conn.Close()
}
