package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to connections.
type mode int

const (
	pass mode = iota
	// delayed holds each chunk for some milliseconds.
	delayed
	// reset resets new and open connections.
	reset
	// silent swallows both directions; oneWay swallows what comes back.
	silent
	oneWay
	modes
)

// chunkDelay is how long a delayed proxy holds a chunk.
const chunkDelay = 15 * time.Millisecond

// proxy is a loopback proxy in front of one address.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex // guards what follows
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode, for open connections too.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		p.cutAll()
	}
}

// cutAll resets all connections. The caller holds mu.
func (p *proxy) cutAll() {
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAll()
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

func (p *proxy) handle(client net.Conn) {
	if p.current() == reset {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, silent) })
	both.Go(func() { p.copy(client, server, oneWay) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// copy passes one direction on. Bytes are swallowed in the mode silent, and in
// swallow, which differs for the directions. Once bytes were swallowed the
// connection carries nothing more, as behind a partition.
func (p *proxy) copy(to, from net.Conn, swallow mode) {
	buf := make([]byte, 32<<10)
	dead := false
	for {
		n, err := from.Read(buf)
		m := p.current()
		if m == silent || m == swallow {
			dead = true
		}
		if n > 0 && !dead {
			if m == delayed {
				time.Sleep(chunkDelay)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !dead {
				_ = to.(*net.TCPConn).CloseWrite() // fails only on a closed connection
			}
			return
		}
	}
}
