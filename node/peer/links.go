package peer

import (
	"sync"
	"time"

	"galenadyke.dev/core/model"
)

// Log takes reports of faults.
type Log interface {
	LinkBroken(peer model.InstanceID, during string, err error)
	FrameRefused(peer model.InstanceID, err error)
	SetRefused(source string, findings []string)
}

// Metrics counts what the package does.
type Metrics interface {
	FrameSent()
	FrameReceived()
	StreamBroken()
}

// Config configures both sides. All fields are required.
type Config struct {
	Self        model.InstanceID
	Incarnation model.Incarnation
	Submit      func(model.Input) bool
	// Boot reads CLOCK_BOOTTIME.
	Boot    func() time.Duration
	Log     Log
	Metrics Metrics
}

// Links holds the outgoing link to each peer. Send is called by the loop.
type Links struct {
	cfg Config

	mu     sync.Mutex // guards what follows; held for map operations only
	links  map[model.InstanceID]*link
	closed bool
	ending sync.WaitGroup
}

// NewLinks returns an empty set of links.
func NewLinks(cfg Config) *Links {
	return &Links{
		cfg:   cfg,
		links: make(map[model.InstanceID]*link),
	}
}

// Send queues a message without blocking. Messages to one peer stay in order.
func (s *Links) Send(out model.SendPeer) {
	q := queued{message: out.Message, at: s.cfg.Boot(), bytes: size(out.Message)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	l := s.links[out.To]
	if l != nil && l.address != out.Address {
		// The peer has moved: another life of it. The old link ends by itself.
		s.drop(l)
		l = nil
	}
	if l == nil {
		l = newLink(s, out.To, out.Address)
		s.links[out.To] = l
		s.ending.Go(l.run)
	}
	l.push(q)
}

// drop closes a link. The caller holds mu.
func (s *Links) drop(l *link) {
	delete(s.links, l.to)
	close(l.closing)
}

// forget removes a link that ends by itself. It reports false if a message has
// just been queued for it.
func (s *Links) forget(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	s.remove(l)
	return true
}

// discard removes a link that has failed, whatever is queued for it.
func (s *Links) discard(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(l)
}

func (s *Links) remove(l *link) {
	if s.links[l.to] == l {
		delete(s.links, l.to)
	}
}

// Close sends what is queued, for at most flushTimeout, and ends all links.
func (s *Links) Close() {
	s.mu.Lock()
	s.closed = true
	for _, l := range s.links {
		s.drop(l)
	}
	s.mu.Unlock()
	s.ending.Wait()
}

// size estimates the memory that a queued message keeps alive, in bytes.
func size(message model.PeerMessage) int64 {
	const fixed = 256
	n := fixed
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
