package query

import "galenadyke.dev/core/model"

// peerTable holds the other instances that this one exchanges work with. An
// instance keeps its index for the life of the process.
type peerTable struct {
	peers     []peer
	peerIndex map[model.InstanceID]int32
	flush     []int32 // peers with messages to send at the end of the tick
}

type peer struct {
	id       model.InstanceID
	address  string
	attempts int32 // list of attempts relayed to this instance
	forwards int32 // list of calls forwarded to this instance

	flushing bool
	items    []model.RelayItem // of the call that is being sent
	replies  []model.RelayOutcome
	cancels  []model.WorkRef
}

func (p *peerTable) init() { p.peerIndex = map[model.InstanceID]int32{} }

func (p *peerTable) peer(id model.InstanceID) int32 {
	if i, ok := p.peerIndex[id]; ok {
		return i
	}
	i := int32(len(p.peers))
	p.peers = append(p.peers, peer{id: id, attempts: none, forwards: none})
	p.peerIndex[id] = i
	return i
}

func (p *peerTable) markPeer(i int32) {
	if !p.peers[i].flushing {
		p.peers[i].flushing = true
		p.flush = append(p.flush, i)
	}
}

func (e *Engine) send(i int32, m model.PeerMessage) {
	p := &e.peers[i]
	if a, ok := e.view.PeerAddress(p.id); ok {
		p.address = a
	}
	e.emit(model.SendPeer{To: p.id, Address: p.address, Message: m})
}

// flushPeers sends the outcomes and cancellations of the tick, one message of
// each kind for each instance.
func (e *Engine) flushPeers() {
	for _, i := range e.flush {
		p := &e.peers[i]
		p.flushing = false
		if len(p.cancels) > 0 {
			e.send(i, model.RelayCancel{Refs: p.cancels})
			p.cancels = nil
		}
		if len(p.replies) > 0 {
			e.send(i, model.RelayReply{Items: p.replies})
			p.replies = nil
		}
	}
	e.flush = e.flush[:0]
}

// peerLost ends everything that waits for an instance whose messages may be
// lost: searches go elsewhere, bookings are unknown.
func (e *Engine) peerLost(id model.InstanceID) {
	i, ok := e.peerIndex[id]
	if !ok {
		return
	}
	for a := e.peers[i].attempts; a != none; a = e.peers[i].attempts {
		e.attemptDone(a, outcome{err: model.KindPeerLost, execution: model.Unknown})
	}
	for c := e.peers[i].forwards; c != none; c = e.peers[i].forwards {
		e.forwardDone(c, bookResult{err: model.KindOwnerLost, execution: model.Unknown, message: msgOwnerLost})
	}
}
