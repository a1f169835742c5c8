package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"galenadyke.dev/core/gateway"
	"galenadyke.dev/node/memory"
)

// startFlood starts a target that answers each request with a prefix and then repeats a
// piece without end, until the instance closes the connection. It returns the target and a
// counter of the bytes that the target could write.
func startFlood(t *testing.T, prefix, piece string) (*scriptedTarget, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	written := &atomic.Int64{}
	block := []byte(strings.Repeat(piece, 1+(64<<10)/len(piece)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4<<10))
				_, err := io.WriteString(c, prefix)
				for err == nil {
					var n int
					n, err = c.Write(block)
					written.Add(int64(n))
				}
			}()
		}
	}()
	return &scriptedTarget{address: l.Addr().String()}, written
}

const answerHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: st\r\n"

// floods are answers without an end: a prefix and a piece that repeats.
var floods = []struct {
	name, prefix, piece string
	want                bound // "" if the answer is refused as malformed
}{
	{"status line", "HTTP/1.1 200 ", "x", boundHead},
	{"no line at all", "", "x", boundHead},
	{"header line", answerHead + "X-Long: ", "x", boundHead},
	{"header lines", answerHead, "X-More: 1\r\n", boundHead},
	{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n", boundInformational},
	{"long informational answers", "", "HTTP/1.1 103 Early Hints\r\nX-Long: " + strings.Repeat("x", 40<<10) + "\r\n\r\n", boundHead},
	{"body up to the close", answerHead + "\r\n", "x", boundBody},
	{"chunks", answerHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", boundBody},
	{"chunk of any length", answerHead + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", "x", boundBody},
	{"chunk line", answerHead + "Transfer-Encoding: chunked\r\n\r\n1;ext=", "x", ""},
	{"trailer line", answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "x", ""},
	{"trailer lines", answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n", ""},
	{"announced length", answerHead + "Content-Length: 9223372036854775807\r\n\r\n", "x", boundBody},
	{"answers to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Stamp: st\r\nContent-Length: 1\r\n\r\nx", ""},
}

// Guards against an instance whose memory a target takes with an answer without an end, in
// the head or in the body: the exchange ends with the connection long before the deadline,
// it counts as broken, and little has been read or kept.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	for _, flood := range floods {
		for _, gather := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gather %v", flood.name, gather), func(t *testing.T) {
				target, written := startFlood(t, flood.prefix, flood.piece)
				s := newTestUpstream()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				req := &callerRequest{method: "GET", caller: gateway.CallerHeaders{AttemptID: "a"}, head: []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n")}
				deadline := s.u.bootTime() + time.Minute
				ended, rep := s.u.do(&attempt{req: req, out: gateway.SendAttempt{Attempt: 1, Target: "t1", Address: target.address,
					Deadline: deadline, CallerDeadline: deadline, Gather: gather}})
				runtime.ReadMemStats(&after)
				if ended.Outcome != gateway.OutcomeBroken || rep != nil {
					t.Errorf("got outcome %v (%s), want broken without an answer", ended.Outcome, ended.Cause)
				}
				if took := time.Since(start); took > 20*time.Second {
					t.Errorf("the attempt ended after %v, want long before its deadline of a minute", took)
				}
				limit := int64(maxReplyBytes)
				if gather {
					limit = maxPartBytes
				}
				if flood.want != boundBody {
					limit = maxReplyHeadBytes
				}
				// Buffers double, and the allocations of all sizes count.
				if allocated := int64(after.TotalAlloc - before.TotalAlloc); allocated > 8*limit+4<<20 {
					t.Errorf("%d bytes were allocated, want at most 8 times the limit of %d and 4 MiB", allocated, limit)
				}
				if flood.want != "" && (len(s.over) != 1 || s.over[0] != flood.want) {
					t.Errorf("got bounds %v exceeded, want %q once", s.over, flood.want)
				}
				if s.u.bodies.Used() != 0 {
					t.Errorf("%d bytes of the body budget are still taken, want 0", s.u.bodies.Used())
				}
				stopped := written.Load()
				for range 200 {
					time.Sleep(5 * time.Millisecond)
					if now := written.Load(); now == stopped {
						return
					} else {
						stopped = now
					}
				}
				t.Error("the target still writes after the attempt has ended, want its connection closed")
			})
		}
	}
}

// Guards against heads that are refused although they are within the bound.
func TestLongHeadWithinTheBoundIsRead(t *testing.T) {
	answer := strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Long: "+strings.Repeat("x", 8<<10)+"\r\n\r\n", maxInformational) + okAnswer("a", "12345")
	target := startTarget(t, func(int, int) string { return answer })
	if ended, _ := newTestUpstream().send(target, "GET", "a", ""); ended.Outcome != gateway.OutcomeSuccess {
		t.Errorf("got outcome %v (%s), want success", ended.Outcome, ended.Cause)
	}
}

// Guards against many long answers that together take the memory of the process: the
// largest of them is ended, and small answers are still read.
func TestLargestBodyIsEndedWhenTheBudgetIsUsedUp(t *testing.T) {
	flood, _ := startFlood(t, answerHead+"\r\n", "x")
	small := startTarget(t, func(int, int) string { return okAnswer("a", "12345") })
	s := newTestUpstream()
	s.u.bodies = memory.NewBudget(1 << 20)
	if ended, _ := s.send(flood, "GET", "a", ""); ended.Outcome != gateway.OutcomeBroken || !strings.Contains(ended.Cause, "together") {
		t.Errorf("got outcome %v (%s), want broken for lack of memory", ended.Outcome, ended.Cause)
	}
	if ended, _ := s.send(small, "GET", "a", ""); ended.Outcome != gateway.OutcomeSuccess {
		t.Errorf("got outcome %v (%s), want success", ended.Outcome, ended.Cause)
	}
}

// Guards against callers whose request takes memory or a connection for ever because its
// body is not sent to the end, or because bodies in progress have used up the memory.
func TestCallerBodyIsBounded(t *testing.T) {
	server, base, _ := startCallerServer(t, func(*callerServer, gateway.Arrived) (gateway.Answer, bool) {
		return gateway.Answer{Kind: gateway.AnswerNoRoute}, true
	})
	server.bodies = memory.NewBudget(100 << 10)
	resp, err := http.Post(base+"/x", "text/plain", strings.NewReader(strings.Repeat("x", 200<<10)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 with a Retry-After", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if resp, err = http.Post(base+"/x", "text/plain", strings.NewReader("short")); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("got status %d for a short body, want 404 from the core", resp.StatusCode)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		used := server.bodies.Used()
		if used == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes of the body budget are still taken after the answers, want 0", used)
		}
	}
}
