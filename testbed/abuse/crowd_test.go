package abuse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// script is what a client does on a connection. An error other than a time-out ends the
// connection. After a time-out or without an error the client keeps the connection open and
// reads nothing.
type script func(conn net.Conn, client int) error

const (
	// scriptTimeout is how long a write of a script may wait for the process.
	scriptTimeout = 5 * time.Second
	// maxEndless bounds the bytes of a script without an end.
	maxEndless = 4 << 20
	// receiveBufferBytes is the receive buffer of a client's socket, so that the system does
	// not take answers that the client does not read.
	receiveBufferBytes = 4 << 10
	// watchInterval is the time between two looks at the process.
	watchInterval = 10 * time.Millisecond
)

// crowd is a number of clients that run a script at an address at the same time.
type crowd struct {
	address string
	clients int
	// rounds is the number of connections that a client opens one after another while the
	// process closes them.
	rounds int
	script script

	mu    sync.Mutex // guards conns
	conns []net.Conn
}

// run runs the crowd until each client keeps its last connection open or has lost it, or the
// process is out of its bounds.
func (c *crowd) run(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i := range c.clients {
		clients.Go(func() { c.runClient(ctx, i) })
	}
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	for {
		select {
		case <-done:
			return
		case <-watch.C:
			if !p.isWithinBounds() {
				cancel()
				c.close()
				<-done
				return
			}
		}
	}
}

// runClient runs the script of a client on up to c.rounds connections.
func (c *crowd) runClient(ctx context.Context, client int) {
	for round := 0; round < c.rounds && ctx.Err() == nil; round++ {
		conn, err := (&net.Dialer{Timeout: scriptTimeout}).DialContext(ctx, "tcp", c.address)
		if err != nil {
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes) // only makes the client less effective
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
		err = c.script(conn, client)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		conn.Close()
	}
}

// close closes the connections of all clients.
func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// write writes a text, and fails if the process does not take it in time.
func write(conn net.Conn, text string) error {
	_ = conn.SetWriteDeadline(time.Now().Add(scriptTimeout)) // the write fails as well
	_, err := io.WriteString(conn, text)
	return err
}

// send returns a script that writes a text once.
func send(text string) script {
	return func(conn net.Conn, _ int) error { return write(conn, text) }
}

// sendEndless returns a script that writes a prefix and then pieces until the process closes
// the connection.
func sendEndless(prefix string, piece func(i int) string) script {
	return func(conn net.Conn, _ int) error {
		err := write(conn, prefix)
		for sent, i := 0, 0; err == nil && sent < maxEndless; {
			var block strings.Builder
			for ; block.Len() < 4<<10; i++ {
				block.WriteString(piece(i))
			}
			sent += block.Len()
			err = write(conn, block.String())
		}
		return err
	}
}

func repeat(piece string) func(int) string { return func(int) string { return piece } }

// shortHeader returns a header line that costs its reader far more memory than its length.
func shortHeader(i int) string { return fmt.Sprintf("%x:\r\n", i+0x100) }

// shortHeaders returns header lines of together at most size bytes.
func shortHeaders(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len()+len(shortHeader(i)) <= size; i++ {
		lines.WriteString(shortHeader(i))
	}
	return lines.String()
}

// attack is a named script.
type attack struct {
	name   string
	script script
}

// headAttacks returns attacks with heads of requests for a path. limit is the largest head
// that the process accepts, in bytes.
func headAttacks(path string, limit int) []attack {
	begin := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	return []attack{
		{"nothing", send("")},
		{"one byte", send("G")},
		{"empty lines without end", sendEndless("", repeat("\r\n"))},
		{"empty lines after a request", sendEndless("POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", repeat("\r\n"))},
		{"request line without end", sendEndless("GET /", repeat("x"))},
		{"header line without end", sendEndless(begin+"X-Long: ", repeat("x"))},
		{"continued line without end", sendEndless(begin+"X-Long: x\r\n", repeat(" x\r\n"))},
		{"short header lines without end", sendEndless(begin, shortHeader)},
		{"unfinished heads within the limit", send(begin + shortHeaders(limit-len(begin)))},
		{"complete heads within the limit", send(begin + shortHeaders(limit-len(begin)-2) + "\r\n")},
	}
}

// bodyAttacks returns attacks with bodies of requests for a path. limit is the largest body
// that the process accepts, in bytes.
func bodyAttacks(path string, limit int) []attack {
	begin := "POST " + path + " HTTP/1.1\r\nHost: h\r\n"
	return []attack{
		{"announced body that never comes", send(begin + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit))},
		{"unfinished bodies within the limit", send(begin + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit) + strings.Repeat("x", limit-1))},
		{"chunks without end", sendEndless(begin+"Transfer-Encoding: chunked\r\n\r\n", repeat("1\r\nx\r\n"))},
		{"chunk line without end", sendEndless(begin+"Transfer-Encoding: chunked\r\n\r\n1;", repeat("x"))},
		{"trailer without end", sendEndless(begin+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", shortHeader)},
	}
}

// unreadAnswers returns an attack with requests for a path whose answers are not read.
func unreadAnswers(path string) attack {
	return attack{"answers that are not read", sendEndless("", repeat("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"))}
}
