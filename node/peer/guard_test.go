package peer

import (
	"context"
	"net"
	"testing"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/stats"
	"pgregory.net/rapid"

	"galenadyke.dev/node/memory"
)

// guardHarness is a guard with connections whose clients write nothing.
type guardHarness struct {
	*Guard
	budget *memory.Budget
}

func newGuardHarness(maxConnections int, budget int64) *guardHarness {
	b := memory.NewBudget(budget)
	return &guardHarness{NewGuard(maxConnections, b), b}
}

// addressedConn is a connection with an address of its own.
type addressedConn struct {
	net.Conn
	address addr
	closed  bool
}

type addr string

func (a addr) Network() string                { return "test" }
func (a addr) String() string                 { return string(a) }
func (c *addressedConn) RemoteAddr() net.Addr { return c.address }
func (c *addressedConn) Close() error         { c.closed = true; return nil }

// open opens a connection and returns it with the context of its calls, or nil if it is
// refused.
func (h *guardHarness) open(address string) (*guardedConn, *addressedConn, context.Context) {
	raw := &addressedConn{address: addr(address)}
	c := h.admit(raw)
	if c == nil {
		return nil, raw, nil
	}
	c.frames = frameCounter{begun: true, skip: 1 << 40} // one long frame
	return c, raw, h.TagConn(context.Background(), &stats.ConnTagInfo{RemoteAddr: raw.address})
}

// begin begins a call and returns its context.
func (h *guardHarness) begin(conn context.Context, clientStream bool) context.Context {
	ctx := h.TagRPC(conn, &stats.RPCTagInfo{})
	h.HandleRPC(ctx, &stats.Begin{IsClientStream: clientStream})
	return ctx
}

// Guards against clients that keep others out by connections without a call, and against
// closing a connection with a call in progress.
func TestNewConnectionReplacesOneWithoutACall(t *testing.T) {
	h := newGuardHarness(2, 1<<20)
	_, busy, ctx := h.open("busy")
	call := h.begin(ctx, false)
	_, idle, _ := h.open("idle")
	third, thirdRaw, ctx3 := h.open("third")
	if third == nil || !idle.closed || busy.closed {
		t.Fatalf("got admitted %v, idle closed %v, busy closed %v, want the idle one replaced", third != nil, idle.closed, busy.closed)
	}
	h.begin(ctx3, false)
	if c, _, _ := h.open("fourth"); c != nil || thirdRaw.closed {
		t.Error("got a further connection while all have calls, want it refused")
	}
	h.HandleRPC(call, &stats.End{})
	if c, _, _ := h.open("fifth"); c == nil || !busy.closed {
		t.Error("got no further connection after the end of a call, want the one without a call replaced")
	}
}

// Guards against messages that arrive without an end and take the memory of the process, and
// against complete messages that count for ever.
func TestUnfinishedMessagesTakeTheBudget(t *testing.T) {
	for _, clientStream := range []bool{false, true} {
		h := newGuardHarness(8, 4*freeConnectionBytes)
		c, raw, ctx := h.open("a")
		call := h.begin(ctx, clientStream)
		for range 10 {
			if !c.arrived(make([]byte, freeConnectionBytes)) {
				t.Fatal("a message within the budget was refused")
			}
			h.HandleRPC(call, &stats.InPayload{WireLength: freeConnectionBytes})
			if !clientStream {
				h.HandleRPC(call, &stats.End{})
				call = h.begin(ctx, clientStream)
			}
		}
		if used := h.budget.Used(); used != 0 {
			t.Errorf("%d bytes are taken after complete messages, want 0", used)
		}
		other, otherRaw, ctxOther := h.open("b")
		otherCall := h.begin(ctxOther, clientStream)
		if !other.arrived(make([]byte, freeConnectionBytes+1)) {
			t.Fatal("a message within the budget was refused")
		}
		refused := false
		for i := 0; i < 10 && !refused; i++ {
			refused = !c.arrived(make([]byte, freeConnectionBytes))
		}
		if !refused || otherRaw.closed {
			t.Errorf("got the message over the budget refused %v, the smaller one ended %v, want only the former", refused, otherRaw.closed)
		}
		_ = c.Close()
		_ = other.Close()
		if h.budget.Used() == 0 {
			t.Error("no bytes are taken before the calls have ended, want those of their messages")
		}
		h.HandleRPC(call, &stats.End{})
		h.HandleRPC(otherCall, &stats.End{})
		if used := h.budget.Used(); used != 0 || !raw.closed {
			t.Errorf("%d bytes are taken after the end of the calls, want 0", used)
		}
	}
}

// Guards against calls without a message that take the memory of the process, and against closing
// a connection for calls that are being handled.
func TestCallsWithoutAMessageTakeTheBudget(t *testing.T) {
	h := newGuardHarness(8, freeConnectionBytes+4*CallBytes)
	_, raw, ctx := h.open("a")
	for range 100 {
		h.HandleRPC(h.begin(ctx, false), &stats.InPayload{WireLength: 1})
	}
	if raw.closed || h.budget.Used() != 0 {
		t.Fatalf("got the connection closed %v, %d bytes taken by calls that are being handled", raw.closed, h.budget.Used())
	}
	calls := 0
	for ; calls < 100 && !raw.closed; calls++ {
		h.begin(ctx, false)
	}
	if want := freeConnectionBytes/CallBytes + 5; calls != want {
		t.Errorf("the connection was closed after %d calls, want %d", calls, want)
	}
}

// Guards against frames that are missed because of how they are split.
func TestFramesAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := []byte(http2.ClientPreface)
		want := rapid.IntRange(0, 5).Draw(t, "frames")
		for range want {
			payload := rapid.IntRange(0, 300).Draw(t, "payload")
			stream = append(stream, 0, byte(payload>>8), byte(payload), 0, 0, 0, 0, 0, 1)
			stream = append(stream, make([]byte, payload)...)
		}
		var f frameCounter
		got := 0
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "read")
			got += f.count(stream[:n])
			stream = stream[n:]
		}
		if got != want {
			t.Fatalf("got %d frames, want %d", got, want)
		}
	})
}
