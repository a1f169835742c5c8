package peer

import (
	"sync"
	"time"

	"galenadyke.dev/core/model"
)

// Log records broken links, refused frames and refused configuration sets.
type Log interface {
	LinkBroken(peer model.InstanceID, during string, err error)
	FrameRefused(peer model.InstanceID, err error)
	SetRefused(source string, findings []string)
}

// Metrics counts frames and broken streams.
type Metrics interface {
	FrameSent()
	FrameReceived()
	StreamBroken()
}

// Config configures Links and Server. All fields are required.
type Config struct {
	Self        model.InstanceID
	Incarnation model.Incarnation
	// Submit passes an input to the event loop. It waits while the queue of the loop
	// is full, and reports false if the loop has ended.
	Submit func(model.Input) bool
	// BootTime returns the time of CLOCK_BOOTTIME.
	BootTime func() time.Duration
	Log      Log
	Metrics  Metrics
}

// Links holds the outgoing link to each peer. Send is called by the event loop.
type Links struct {
	cfg Config

	mu      sync.Mutex // guards the fields below; held for map operations only
	links   map[model.InstanceID]*link
	closed  bool
	running sync.WaitGroup
}

// NewLinks returns Links without any link. Send opens a link to each peer when needed.
func NewLinks(cfg Config) *Links {
	return &Links{
		cfg:   cfg,
		links: make(map[model.InstanceID]*link),
	}
}

// Send queues a message without blocking. Messages to the same peer stay in
// order. After Close, messages are discarded.
func (s *Links) Send(out model.SendPeer) {
	q := queuedMessage{message: out.Message, queuedAt: s.cfg.BootTime(), bytes: messageSize(out.Message)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	l := s.links[out.To]
	if l != nil && l.address != out.Address {
		// The peer's address has changed, as a new incarnation may have another one.
		// The old link sends its queue and then ends by itself.
		s.closeLink(l)
		l = nil
	}
	if l == nil {
		l = newLink(s, out.To, out.Address)
		s.links[out.To] = l
		s.running.Go(l.run)
	}
	l.push(q)
}

// closeLink removes a link and makes it flush its queue and end. The caller holds
// mu.
func (s *Links) closeLink(l *link) {
	delete(s.links, l.peer)
	close(l.closing)
}

// removeIdle removes an idle link. It reports false, and keeps the link, if a
// message is queued.
func (s *Links) removeIdle(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	s.remove(l)
	return true
}

// removeFailed removes a link that has failed, even if messages are queued.
func (s *Links) removeFailed(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(l)
}

// remove removes a link unless another one has replaced it. The caller holds mu.
func (s *Links) remove(l *link) {
	if s.links[l.peer] == l {
		delete(s.links, l.peer)
	}
}

// Close flushes the queues and waits until all links have ended. After the last
// frame of a link is written, its receiver has flushTimeout to read the rest.
func (s *Links) Close() {
	s.mu.Lock()
	s.closed = true
	for _, l := range s.links {
		s.closeLink(l)
	}
	s.mu.Unlock()
	s.running.Wait()
}

// messageSize estimates the memory that a queued message holds, in bytes.
func messageSize(message model.PeerMessage) int64 {
	const overhead = 256
	n := overhead
	switch m := message.(type) {
	case model.Exchange:
		n += 64*len(m.Members) + 32*len(m.Seen)
		for i := range m.Targets {
			n += 128
			for j := range m.Targets[i].Versions {
				n += 4 * len(m.Targets[i].Versions[j].Partitions)
			}
		}
	case model.ConfigSet:
		n += len(m.Raw)
	case model.RelayRequest:
		n += len(m.Body) + 64*len(m.Items)
	case model.RelayReply:
		for i := range m.Items {
			n += 128 + len(m.Items[i].Answer.Body)
		}
	case model.BookForward:
		n += len(m.Body)
	case model.BookOutcome:
		n += len(m.Body)
	case model.BookingHandover:
		for i := range m.Outcomes {
			n += 64 + len(m.Outcomes[i].Body)
		}
	}
	return int64(n)
}
