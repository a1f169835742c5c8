package query

import "time"

// queueWait estimates how long new work waits for a slot at a led target.
func (e *Engine) queueWait(i int32) time.Duration {
	t := &e.targets[i]
	return t.waitBehind(len(t.queue))
}

// waitByDeadline estimates how long work that is not queued yet will wait for a
// slot behind the queued work with the same or an earlier deadline.
func (e *Engine) waitByDeadline(w *work) time.Duration {
	t := &e.targets[w.target]
	ahead := 0
	for _, q := range t.queue {
		if e.works.at(q).deadline <= w.deadline {
			ahead++
		}
	}
	return t.waitBehind(ahead)
}

// waitBehind estimates the time until a slot is free for work that has n queued
// requests ahead of it.
func (t *target) waitBehind(n int) time.Duration {
	allowed := t.allowedInFlight()
	ahead := n + len(t.inFlight) + 1 - allowed
	if ahead <= 0 {
		return 0
	}
	return t.serviceTime * time.Duration(ahead) / time.Duration(allowed)
}
