package gateway

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a connect. TCP resends a lost SYN after a second, which is too
	// late for most requests.
	dialTimeout = time.Second
	// connIdleTimeout is how long an idle connection may be used again, unless the target
	// states another time in its Keep-Alive header.
	connIdleTimeout = time.Minute
	// surplusIdleTimeout is the idle time after which a connection is closed while other
	// connections to the target are in use. Targets bound the connections of all
	// instances together, including those of instances that lost power, so the surplus
	// of a burst must not stay open. The value exceeds the time between two pauses of a
	// target (3 s), as each pause needs the surplus again.
	surplusIdleTimeout = 5 * time.Second
	// keepAliveMargin is how long before the timeout stated by a target its connection is
	// no longer used.
	keepAliveMargin = 700 * time.Millisecond
	// connReadBufferBytes is enough for the headers and the records of a typical part.
	connReadBufferBytes = 2 << 10
)

// poolKey identifies the connections to a target. The address alone does not, as another
// target may get it.
type poolKey struct{ target, address string }

// conn is a connection to a target, idle or in use.
type conn struct {
	net.Conn
	in *limitedReader // reads from Conn; br reads from it
	br *bufio.Reader
	// identifies is set once an answer on the connection has stated the ID of its attempt.
	// An answer without an ID is then not the one that is due.
	identifies  bool
	raw         syscall.RawConn
	usableUntil time.Time // from this time on, the connection is not taken for a new request
	idleSince   time.Time
}

// pools holds the idle connections to all targets. The core bounds the connections in
// use. Idle connections are used before new ones are opened, so that the sum stays within
// the bound.
type pools struct {
	onOpen func() // called for each connection that was opened

	mu   sync.Mutex // guards idle; held for map operations only
	idle map[poolKey][]*conn
}

func newPools(onOpen func()) *pools {
	return &pools{onOpen: onOpen, idle: make(map[poolKey][]*conn)}
}

// get removes the connection that was used last from the pool and returns it, or nil if
// no connection is usable.
func (p *pools) get(key poolKey) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		list[len(list)-1] = nil
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Now().Before(c.usableUntil) && c.nothingToRead() {
			return c
		}
		c.Close()
	}
}

// nothingToRead reports whether nothing has arrived on the idle connection: neither the
// target's close nor bytes that answer no request.
func (c *conn) nothingToRead() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// put returns a connection to the pool, and closes at most one that has been idle for more
// than surplusIdleTimeout.
func (p *pools) put(key poolKey, c *conn) {
	if surplus := p.add(key, c); surplus != nil {
		surplus.Close()
	}
}

// add appends a connection to the list of idle ones, and returns a surplus connection
// that it removed, or nil. As get takes the last, the first has been idle the longest.
func (p *pools) add(key poolKey, c *conn) (surplus *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	list := append(p.idle[key], c)
	if len(list) > 1 && c.idleSince.Sub(list[0].idleSince) > surplusIdleTimeout {
		surplus = list[0]
		list = slices.Delete(list, 0, 1)
	}
	p.idle[key] = list
	return surplus
}

// closeIdle closes the idle connections of a target.
func (p *pools) closeIdle(key poolKey) {
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// closeAll closes all idle connections.
func (p *pools) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, key)
	}
}

// dial opens a connection within the timeout, but at most dialTimeout.
func (p *pools) dial(address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: min(dialTimeout, timeout)}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	p.onOpen()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	in := &limitedReader{r: nc, left: unlimited}
	return &conn{Conn: nc, in: in, br: bufio.NewReaderSize(in, connReadBufferBytes), raw: raw, usableUntil: time.Now().Add(connIdleTimeout)}, nil
}

// setUsableUntil sets how long the connection may stay idle, from the headers of the latest
// answer on it.
func (c *conn) setUsableUntil(h http.Header) {
	idle := connIdleTimeout
	for _, param := range splitList(h.Get("Keep-Alive")) {
		name, value, _ := strings.Cut(param, "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil {
			idle = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	c.usableUntil = time.Now().Add(idle)
}

// splitList returns the elements of a comma-separated header value.
func splitList(value string) []string {
	if value == "" {
		return nil
	}
	list := strings.Split(value, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}
