package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// lostPeerAvoidTime is how long a peer is avoided after its stream broke, unless a
// message from the peer arrives earlier. It equals the driver's longest wait
// between two connection attempts, so that a restarted peer is used again as soon
// as it can be reached.
const lostPeerAvoidTime = 500 * time.Millisecond

// peerTable holds the peers: the other instances that this instance exchanges
// messages with. A peer keeps its index for the life of the process.
type peerTable struct {
	peers      []peer
	peerIndex  map[model.InstanceID]int32
	dirtyPeers []int32 // peers with replies or cancellations to send at the end of the tick
}

type peer struct {
	id           model.InstanceID
	address      string
	firstAttempt int32 // head of the list of attempts relayed to the peer
	firstForward int32 // head of the list of calls forwarded to the peer
	// avoidUntil is the time until which targets led by other instances are
	// preferred to those led by this peer.
	avoidUntil time.Duration

	dirty   bool
	items   []model.RelayItem // unsent items of the current request
	replies []model.RelayOutcome
	cancels []model.WorkRef
}

func (p *peerTable) init() { p.peerIndex = map[model.InstanceID]int32{} }

// peerFor returns the index of the peer, which is added if it is new.
func (p *peerTable) peerFor(id model.InstanceID) int32 {
	if i, ok := p.peerIndex[id]; ok {
		return i
	}
	i := int32(len(p.peers))
	p.peers = append(p.peers, peer{id: id, firstAttempt: none, firstForward: none})
	p.peerIndex[id] = i
	return i
}

func (p *peerTable) markPeerDirty(i int32) {
	if !p.peers[i].dirty {
		p.peers[i].dirty = true
		p.dirtyPeers = append(p.dirtyPeers, i)
	}
}

// markPeerAlive lets the peer be used again if it was avoided.
func (e *Engine) markPeerAlive(id model.InstanceID) {
	if i, ok := e.peerIndex[id]; ok {
		e.peers[i].avoidUntil = 0
	}
}

// isLeadLost reports whether the target is led by a peer that is avoided because
// its stream broke recently.
func (e *Engine) isLeadLost(t *target) bool {
	return !t.lead.Self && t.leadPeer != none && e.peers[t.leadPeer].avoidUntil > e.now
}

func (e *Engine) sendToPeer(i int32, m model.PeerMessage) {
	p := &e.peers[i]
	if a, ok := e.view.PeerAddress(p.id); ok {
		p.address = a
	}
	e.emit(model.SendPeer{To: p.id, Address: p.address, Message: m})
}

// flushPeers sends the replies and cancellations of the tick, at most one message
// of each kind to each peer.
func (e *Engine) flushPeers() {
	for _, i := range e.dirtyPeers {
		p := &e.peers[i]
		p.dirty = false
		if len(p.cancels) > 0 {
			e.sendToPeer(i, model.RelayCancel{Refs: p.cancels})
			p.cancels = nil
		}
		if len(p.replies) > 0 {
			e.sendToPeer(i, model.RelayReply{Items: p.replies})
			p.replies = nil
		}
	}
	e.dirtyPeers = e.dirtyPeers[:0]
}

// handlePeerLost ends the attempts and forwards that wait for a peer, because
// messages to or from the peer may be lost. Searches try another replica. The
// outcome of a relayed booking is unknown. A forwarded call may be forwarded to the
// owner's successor.
func (e *Engine) handlePeerLost(id model.InstanceID) {
	i, ok := e.peerIndex[id]
	if !ok {
		return
	}
	e.peers[i].avoidUntil = e.now + lostPeerAvoidTime
	for a := e.peers[i].firstAttempt; a != none; a = e.peers[i].firstAttempt {
		e.finishAttempt(a, outcome{kind: model.KindPeerLost, execution: model.Unknown})
	}
	for c := e.peers[i].firstForward; c != none; c = e.peers[i].firstForward {
		e.finishForward(c, bookResult{kind: model.KindOwnerLost, execution: model.Unknown, message: msgOwnerLost})
	}
}
