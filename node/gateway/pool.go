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
	// dialTimeout bounds a connect: a lost opening packet is sent again after a
	// second, which is too late for most requests.
	dialTimeout = time.Second
	// connIdleTimeout closes a connection that was not used, unless the target names a
	// shorter time.
	connIdleTimeout = time.Minute
	// surplusIdleTimeout closes connections that a target needed for a while and does not
	// need now: targets bound the connections of all instances together, also those
	// of instances that lost power. It is above the time between two pauses of
	// targets that need them (3 s).
	surplusIdleTimeout = 5 * time.Second
	// keepAliveMargin is the time before the end named by a target at which its
	// connection is no longer used.
	keepAliveMargin = 700 * time.Millisecond
	// connReadBufferBytes holds the head and the records of a usual part.
	connReadBufferBytes = 2 << 10
)

// poolKey names one incarnation of an address.
type poolKey struct{ target, address string }

// conn is an idle or busy connection to a target.
type conn struct {
	net.Conn
	br          *bufio.Reader
	raw         syscall.RawConn
	usableUntil time.Time // not used for a new request from then on
	idleSince   time.Time // idle since
}

// pools holds the idle connections to all targets. The core bounds the busy ones,
// and idle ones are used first, so that the sum stays within its bound.
type pools struct {
	onOpen func()

	mu   sync.Mutex // guards idle; held for map operations only
	idle map[poolKey][]*conn
}

func newPools(opened func()) *pools {
	return &pools{onOpen: opened, idle: make(map[poolKey][]*conn)}
}

// get returns an idle connection that is still clean, or nil.
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

// nothingToRead reports whether nothing arrived on the idle connection: neither its end
// nor bytes that belong to no request.
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

// put keeps a connection for the next request, and closes one that was not used
// for long. The last used is the next used, so the first in the list waits the
// longest.
func (p *pools) put(key poolKey, c *conn) {
	if surplus := p.add(key, c); surplus != nil {
		surplus.Close()
	}
}

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

// dial opens a connection within the time.
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
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, connReadBufferBytes), raw: raw, usableUntil: time.Now().Add(connIdleTimeout)}, nil
}

// setUsableUntil sets how long the connection may stay idle after an answer.
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

// splitList splits a header value at its commas.
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
