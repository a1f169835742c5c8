package soak

import (
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

const (
	modeForward mode = iota
	// modeDelay delays each chunk by chunkDelay.
	modeDelay
	// modeReset resets new and open connections.
	modeReset
	// modeDropAll discards the bytes in both directions, modeDropReplies only
	// the bytes from the server to the client. The connections stay open.
	modeDropAll
	modeDropReplies
	// modeCount is the number of modes.
	modeCount
)

// chunkDelay is the delay of each chunk in modeDelay. A chunk is what one read
// returns.
const chunkDelay = 15 * time.Millisecond

// proxy is a TCP proxy on loopback in front of one address.
type proxy struct {
	address  string
	upstream string // address to which connections are forwarded

	mu       sync.Mutex   // guards the fields below
	listener net.Listener // nil while the proxy is stopped
	mode     mode
	conns    map[net.Conn]bool
}

func newProxy(address, upstream string) (*proxy, error) {
	p := &proxy{address: address, upstream: upstream, conns: make(map[net.Conn]bool)}
	return p, p.start()
}

// start listens at the address.
func (p *proxy) start() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener, p.address = l, l.Addr().String()
	go p.serve(l)
	return nil
}

// setMode changes the mode, which also applies to open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		p.resetAll()
	}
}

// resetAll resets all open connections. The caller must hold mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// close stops listening and resets all open connections, as the end of a server's process
// does. start ends this.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	p.resetAll()
}

func (p *proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.handle(c, l)
	}
}

// handle forwards a connection that the listener accepted.
func (p *proxy) handle(client net.Conn, l net.Listener) {
	if p.currentMode() == modeReset {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.upstream, time.Second)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	if p.listener != l { // closed meanwhile
		p.mu.Unlock()
		client.Close()
		server.Close()
		return
	}
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, client, modeDropAll) })
	directions.Go(func() { p.copy(client, server, modeDropReplies) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// copy forwards the bytes of one direction of a connection. It discards them in
// modeDropAll and in dropMode. Once it has discarded bytes, it also discards all
// later bytes of the connection in that direction, as in a network partition.
func (p *proxy) copy(to, from net.Conn, dropMode mode) {
	buf := make([]byte, 32<<10)
	partitioned := false
	for {
		n, err := from.Read(buf)
		m := p.currentMode()
		if m == modeDropAll || m == dropMode {
			partitioned = true
		}
		if n > 0 && !partitioned {
			if m == modeDelay {
				time.Sleep(chunkDelay)
			}
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !partitioned {
				_ = to.(*net.TCPConn).CloseWrite() // fails only on a closed connection
			}
			return
		}
	}
}
