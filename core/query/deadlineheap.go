package query

// push queues work. The queue is a heap by deadline; work with the same deadline
// keeps its order.
func (t *target) push(ws *table[work], i int32) {
	t.queue = append(t.queue, i)
	ws.at(i).pos = int32(len(t.queue) - 1)
	t.up(ws, int32(len(t.queue)-1))
}

// pop removes the work at a position of the queue.
func (t *target) pop(ws *table[work], pos int32) {
	last := int32(len(t.queue) - 1)
	ws.at(t.queue[pos]).pos = none
	if pos != last {
		t.queue[pos] = t.queue[last]
		ws.at(t.queue[pos]).pos = pos
	}
	t.queue = t.queue[:last]
	if pos != last {
		t.down(ws, pos)
		t.up(ws, pos)
	}
}

func (t *target) before(ws *table[work], a, b int32) bool {
	x, y := ws.at(t.queue[a]), ws.at(t.queue[b])
	if x.deadline != y.deadline {
		return x.deadline < y.deadline
	}
	return x.order < y.order
}

func (t *target) swap(ws *table[work], a, b int32) {
	t.queue[a], t.queue[b] = t.queue[b], t.queue[a]
	ws.at(t.queue[a]).pos, ws.at(t.queue[b]).pos = a, b
}

func (t *target) up(ws *table[work], pos int32) {
	for pos > 0 && t.before(ws, pos, (pos-1)/2) {
		t.swap(ws, pos, (pos-1)/2)
		pos = (pos - 1) / 2
	}
}

func (t *target) down(ws *table[work], pos int32) {
	n := int32(len(t.queue))
	for {
		first := pos
		for child := 2*pos + 1; child <= 2*pos+2 && child < n; child++ {
			if t.before(ws, child, first) {
				first = child
			}
		}
		if first == pos {
			return
		}
		t.swap(ws, pos, first)
		pos = first
	}
}
