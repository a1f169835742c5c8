package query

import (
	"time"

	"galenadyke.dev/core/model"
)

// lostPeerAvoidTime is the time for which an instance whose stream broke is avoided,
// unless it is heard earlier. It equals the longest wait of the driver between
// two connects, so that a restarted instance is tried again as soon as it can
// be reached.
const lostPeerAvoidTime = 500 * time.Millisecond

// peerTable holds the other instances that this one exchanges work with. An
// instance keeps its index for the life of the process.
type peerTable struct {
	peers      []peer
	peerIndex  map[model.InstanceID]int32
	dirtyPeers []int32 // peers with messages to send at the end of the tick
}

type peer struct {
	id           model.InstanceID
	address      string
	firstAttempt int32 // list of attempts relayed to this instance
	firstForward int32 // list of calls forwarded to this instance
	// lostUntil ends the time in which work goes to targets of other leads,
	// as far as there are any.
	avoidUntil time.Duration

	dirty   bool
	items   []model.RelayItem // of the call that is being sent
	replies []model.RelayOutcome
	cancels []model.WorkRef
}

func (p *peerTable) init() { p.peerIndex = map[model.InstanceID]int32{} }

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

// markPeerAlive ends the time in which the instance is avoided.
func (e *Engine) markPeerAlive(id model.InstanceID) {
	if i, ok := e.peerIndex[id]; ok {
		e.peers[i].avoidUntil = 0
	}
}

// isLeadLost reports whether the stream to the remote lead of the target broke
// a short time ago.
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

// flushPeers sends the outcomes and cancellations of the tick, one message of
// each kind for each instance.
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

// handlePeerLost ends everything that waits for an instance whose messages may be
// lost: searches go elsewhere, bookings are unknown.
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
