package abuse

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"galenadyke.dev/node/gateway/gatewaypb"
)

// http2Conn is a connection of a client that speaks HTTP/2 as gRPC does.
type http2Conn struct {
	conn   net.Conn
	framer *http2.Framer
	fields bytes.Buffer
	hpack  *hpack.Encoder

	mu sync.Mutex // guards the fields below
	// windows are the bytes that the process accepts on each stream, and on the connection
	// (0). changed is signalled when one grows or the reads end.
	windows map[uint32]int
	changed *sync.Cond
	readErr error
}

// initialWindow is the initial window of HTTP/2 in bytes.
const initialWindow = 65535

// openHTTP2 opens HTTP/2 on a connection and follows its flow control.
func openHTTP2(conn net.Conn) (*http2Conn, error) {
	if err := write(conn, http2.ClientPreface); err != nil {
		return nil, err
	}
	c := &http2Conn{conn: conn, framer: http2.NewFramer(conn, conn), windows: map[uint32]int{0: initialWindow}}
	c.hpack, c.changed = hpack.NewEncoder(&c.fields), sync.NewCond(&c.mu)
	err := c.framer.WriteSettings()
	go c.readFrames()
	return c, err
}

// readFrames reads the frames of the process until the connection ends.
func (c *http2Conn) readFrames() {
	for {
		f, err := c.framer.ReadFrame()
		c.mu.Lock()
		if w, ok := f.(*http2.WindowUpdateFrame); ok && err == nil {
			c.windows[w.StreamID] += int(w.Increment)
		}
		c.readErr = err
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// headers returns the encoded headers of a call with extra fields.
func (c *http2Conn) headers(method string, extra ...hpack.HeaderField) []byte {
	c.fields.Reset()
	for _, f := range append([]hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: method},
		{Name: ":authority", Value: "h"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"}}, extra...) {
		_ = c.hpack.WriteField(f) // a bytes.Buffer returns no error
	}
	return c.fields.Bytes()
}

// open opens a stream for a call.
func (c *http2Conn) open(stream uint32, method string, extra ...hpack.HeaderField) error {
	c.mu.Lock()
	c.windows[stream] = initialWindow
	c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(scriptTimeout))
	return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: c.headers(method, extra...), EndHeaders: true})
}

// send writes data on a stream as far as the process accepts it.
func (c *http2Conn) send(stream uint32, data []byte, end bool) error {
	for first := true; first || len(data) > 0; first = false {
		n, err := c.takeWindow(stream, min(len(data), 16<<10))
		if err != nil {
			return err
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(scriptTimeout))
		if err := c.framer.WriteData(stream, end && n == len(data), data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// takeWindow waits until the process accepts bytes on a stream, and takes up to want of them.
func (c *http2Conn) takeWindow(stream uint32, want int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := time.AfterFunc(scriptTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer timeout.Stop()
	for start := time.Now(); want > 0 && min(c.windows[0], c.windows[stream]) <= 0; c.changed.Wait() {
		if c.readErr != nil {
			return 0, c.readErr
		}
		if time.Since(start) >= scriptTimeout {
			return 0, fmt.Errorf("stream %d: no window within %v", stream, scriptTimeout)
		}
	}
	n := min(want, c.windows[0], c.windows[stream])
	c.windows[0] -= n
	c.windows[stream] -= n
	return n, nil
}

// message returns a message of gRPC with the announced length and the given part of it.
func message(announced int, part []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(announced)), part...)
}

// peerAttacks returns attacks with calls of a method on an address for other instances.
// maxMessage is the largest message that the process accepts, in bytes. hello is sent first on
// the stream of a call whose messages form a stream.
func peerAttacks(method string, maxMessage int, hello []byte) []attack {
	// eachStream returns a script that uses a number of streams of one connection.
	eachStream := func(streams uint32, f func(c *http2Conn, stream uint32) error) script {
		return func(conn net.Conn, _ int) error {
			c, err := openHTTP2(conn)
			for i := uint32(0); err == nil && i < streams; i++ {
				err = f(c, 2*i+1)
			}
			return err
		}
	}
	return []attack{
		{"preface only", send(http2.ClientPreface)},
		{"calls without a message", eachStream(2000, func(c *http2Conn, stream uint32) error { return c.open(stream, method) })},
		{"calls with a large head", eachStream(200, func(c *http2Conn, stream uint32) error {
			var extra []hpack.HeaderField
			for i := range 100 {
				extra = append(extra, hpack.HeaderField{Name: fmt.Sprintf("x-%d", i), Value: string(bytes.Repeat([]byte("x"), 1000)), Sensitive: true})
			}
			c.mu.Lock()
			err := c.readErr
			c.mu.Unlock()
			if err != nil {
				return err
			}
			block := bytes.Clone(c.headers(method, extra...))
			_ = c.conn.SetWriteDeadline(time.Now().Add(scriptTimeout))
			err = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block[:16<<10]})
			for block = block[16<<10:]; err == nil && len(block) > 0; {
				n := min(len(block), 16<<10)
				err = c.framer.WriteContinuation(stream, n == len(block), block[:n])
				block = block[n:]
			}
			return err
		})},
		{"short unfinished messages of many clients", eachStream(1, func(c *http2Conn, stream uint32) error {
			err := c.open(stream, method)
			if err == nil && len(hello) > 0 {
				err = c.send(stream, message(len(hello), hello), false)
			}
			if err == nil {
				err = c.send(stream, message(maxMessage, make([]byte, shortMessageBytes)), false)
			}
			return err
		})},
		{"message in frames of one byte", eachStream(1, func(c *http2Conn, stream uint32) error {
			err := c.open(stream, method)
			if err == nil && len(hello) > 0 {
				err = c.send(stream, message(len(hello), hello), false)
			}
			if err == nil {
				err = c.send(stream, message(maxMessage, nil), false)
			}
			for i := 0; err == nil && i < shortFrames; i++ {
				err = c.send(stream, []byte("x"), false)
			}
			return err
		})},
		{"unfinished messages", eachStream(200, func(c *http2Conn, stream uint32) error {
			if stream > 1 && maxMessage > 32<<20 {
				return nil // one message is enough
			}
			if err := c.open(stream, method); err != nil {
				return err
			}
			if len(hello) > 0 {
				if err := c.send(stream, message(len(hello), hello), false); err != nil {
					return err
				}
			}
			return c.send(stream, message(maxMessage, make([]byte, min(maxMessage-1, 16<<20))), false)
		})},
	}
}

const (
	// peerCrowd is the number of clients of a crowd that speaks gRPC.
	peerCrowd = 40
	// shortMessageBytes is the size of the messages of a crowd of gatewayCrowd or runCrowd
	// clients.
	shortMessageBytes = 700 << 10
	// shortFrames is the number of frames of a message that consists of one byte in each.
	shortFrames = 300_000
)

func TestGatewaySurvivesCallsOfItsPeerAddress(t *testing.T) {
	skipUnlessEnabled(t)
	for i, a := range append(peerAttacks("/galenadyke.gateway.v1.Gateway/Gather", 16<<20, nil), attack{"changes that are not read", unreadChanges}) {
		t.Run(fmt.Sprint(i, " ", a.name), func(t *testing.T) {
			skipKnownRed(t)
			g := startGateway(t)
			clients := peerCrowd
			if strings.Contains(a.name, "many clients") {
				clients = gatewayCrowd
			}
			c := &crowd{address: g.settings.PeerListen, clients: clients, rounds: gatewayRounds, script: a.script}
			g.checkServesWithin(t, c, g.ordinary)
		})
	}
}

// unreadChanges opens streams of the store's changes and gives the process no more window.
func unreadChanges(conn net.Conn, _ int) error {
	c, err := openHTTP2(conn)
	for i := uint32(0); err == nil && i < 200; i++ {
		if err = c.open(2*i+1, "/galenadyke.gateway.v1.Gateway/Follow"); err == nil {
			err = c.send(2*i+1, message(0, nil), true)
		}
	}
	return err
}

// floodStates sends state messages to the gateway. Each of them is made by newMessage.
func floodStates(t *testing.T, g *gatewayProcess, newMessage func(i int) *gatewaypb.State) {
	t.Helper()
	conn, err := net.Dial("udp", g.settings.PeerListen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const messages = 60_000
	for i := range messages {
		raw, err := proto.Marshal(newMessage(i))
		if err != nil || len(raw) > 1400 {
			t.Fatalf("a state message of %d bytes, error %v", len(raw), err)
		}
		_, _ = conn.Write(raw) // a lost message makes the flood smaller
		if i%100 == 0 {
			if !g.isWithinBounds() {
				return
			}
			time.Sleep(time.Millisecond) // else the socket drops most messages
		}
	}
}

func TestGatewaySurvivesForgedStates(t *testing.T) {
	skipUnlessEnabled(t)
	member := func(i int) *gatewaypb.Member {
		return &gatewaypb.Member{Name: fmt.Sprintf("x%d", i), Address: "127.0.0.1:1", Place: "ikeja", Life: 1, Beat: 1, Serving: true}
	}
	floods := map[string]func(i int) *gatewaypb.State{
		"senders": func(i int) *gatewaypb.State { return &gatewaypb.State{Sender: member(i)} },
		"members": func(i int) *gatewaypb.State {
			state := &gatewaypb.State{Sender: member(0)}
			for j := range 30 {
				state.Others = append(state.Others, member(1+30*i+j))
			}
			return state
		},
		"departures": func(i int) *gatewaypb.State {
			state := &gatewaypb.State{Sender: member(0)}
			for j := range 60 {
				state.Departures = append(state.Departures, &gatewaypb.Departure{Target: fmt.Sprintf("t%d", 60*i+j), Started: 1, Report: 1})
			}
			return state
		},
		"crashes": func(i int) *gatewaypb.State {
			state := &gatewaypb.State{Sender: member(0)}
			for j := range 40 {
				state.Crashes = append(state.Crashes, &gatewaypb.CrashedRequest{Digest: uint64(1 + 40*i + j), Crashes: []uint64{1<<32 | 1}})
			}
			return state
		},
		"samples": func(i int) *gatewaypb.State {
			state := &gatewaypb.State{Sender: member(0)}
			for j := range 100 {
				state.Sample = append(state.Sample, uint32(100*i+j)<<8)
			}
			return state
		},
	}
	for _, name := range []string{"senders", "members", "departures", "crashes", "samples"} {
		t.Run(name, func(t *testing.T) {
			skipKnownRed(t)
			g := startGateway(t)
			floodStates(t, g, floods[name])
			g.check(t)
			checkAnswered(t, g.ordinary)
			g.check(t)
		})
	}
}
