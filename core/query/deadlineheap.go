package query

// pushWork adds work to the queue. The queue is a heap by deadline; work with the
// same deadline is in order of creation.
func (t *target) pushWork(ws *table[work], i int32) {
	t.queue = append(t.queue, i)
	ws.at(i).queuePos = int32(len(t.queue) - 1)
	t.siftUp(ws, int32(len(t.queue)-1))
}

// removeWork removes the work at index pos of the queue.
func (t *target) removeWork(ws *table[work], pos int32) {
	last := int32(len(t.queue) - 1)
	ws.at(t.queue[pos]).queuePos = none
	if pos != last {
		t.queue[pos] = t.queue[last]
		ws.at(t.queue[pos]).queuePos = pos
	}
	t.queue = t.queue[:last]
	if pos != last {
		t.siftDown(ws, pos)
		t.siftUp(ws, pos)
	}
}

func (t *target) queueLess(ws *table[work], a, b int32) bool {
	x, y := ws.at(t.queue[a]), ws.at(t.queue[b])
	if x.deadline != y.deadline {
		return x.deadline < y.deadline
	}
	return x.seq < y.seq
}

func (t *target) queueSwap(ws *table[work], a, b int32) {
	t.queue[a], t.queue[b] = t.queue[b], t.queue[a]
	ws.at(t.queue[a]).queuePos, ws.at(t.queue[b]).queuePos = a, b
}

func (t *target) siftUp(ws *table[work], pos int32) {
	for pos > 0 && t.queueLess(ws, pos, (pos-1)/2) {
		t.queueSwap(ws, pos, (pos-1)/2)
		pos = (pos - 1) / 2
	}
}

func (t *target) siftDown(ws *table[work], pos int32) {
	n := int32(len(t.queue))
	for {
		first := pos
		for child := 2*pos + 1; child <= 2*pos+2 && child < n; child++ {
			if t.queueLess(ws, child, first) {
				first = child
			}
		}
		if first == pos {
			return
		}
		t.queueSwap(ws, pos, first)
		pos = first
	}
}
