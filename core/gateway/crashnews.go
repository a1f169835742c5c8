package gateway

import (
	"cmp"
	"slices"
	"time"
)

// News of a crash or a completion is pushed: an instance that learns what it did not know
// sends it to a few random members at once. If the request is held or cleared, it does so again
// after crashRepeatDelay. As each instance pushes only what was new to it, the messages end by
// themselves. Instances that all of them miss learn of it from the regular state messages.

// CrashNews is one crash under a request, or the news that the request was cleared.
type CrashNews struct {
	Digest RequestDigest
	// Organisation is a hash of the caller's organisation.
	Organisation uint32
	// Incarnation is a hash of the target and its start, Attempt a hash of the caller's
	// attempt. They are 0 if Cleared is set.
	Incarnation, Attempt uint32
	// Cleared means that a target completed the request.
	Cleared bool
	// Age is the time since the last crash or refused arrival of the request, or since it
	// was completed.
	Age time.Duration
}

// crashPush is the state of pushing news.
type crashPush struct {
	pending   []*crashEntry
	scheduled bool
	// pushedAt is the time of the last round, valid once started is set.
	pushedAt time.Duration
	started  bool
}

// size returns the bytes that an entry takes in a state message.
func (e *crashEntry) size() int { return crashEntryBytes + crashBytes*len(e.crashes) }

// firstEntries returns the first n entries in an order.
func firstEntries(entries []*crashEntry, n int, compare func(a, b *crashEntry) int) []*crashEntry {
	first := make([]*crashEntry, 0, n+1)
	for _, e := range entries {
		if len(first) == n && compare(e, first[n-1]) >= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, e, compare)
		first = slices.Insert(first, i, e)
		first = first[:min(len(first), n)]
	}
	return first
}

// takeEntries returns the first entries that take up to maxBytes in a state message, and notes
// that they are sent.
func takeEntries(entries []*crashEntry, maxBytes int, now time.Duration) (taken []*crashEntry, bytes int) {
	for i, e := range entries {
		if bytes+e.size() > maxBytes {
			return entries[:i], bytes
		}
		bytes += e.size()
		e.sentAt = now
	}
	return entries, bytes
}

// newsOf returns the news of entries.
func newsOf(entries []*crashEntry, now time.Duration) []CrashNews {
	var news []CrashNews
	for _, e := range entries {
		n := CrashNews{Digest: e.digest, Organisation: e.organisation, Cleared: e.cleared, Age: now - e.activeAt}
		if e.cleared {
			news = append(news, n)
		}
		for _, c := range e.crashes {
			n.Incarnation, n.Attempt = c.incarnation, c.attempt
			news = append(news, n)
		}
	}
	return news
}

// comparePriority orders entries for sending: those with more crashes first, then the newest.
// What was cleared comes before those that are only suspected, as it ends their suspicion.
func comparePriority(a, b *crashEntry) int {
	if c := cmp.Compare(b.priority(), a.priority()); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(b.activeAt, a.activeAt), cmp.Compare(a.digest, b.digest))
}

func (e *crashEntry) priority() int {
	if e.cleared {
		return maxCrashes - 1
	}
	return min(e.count, maxCrashes)
}

// pushCrashNews sends an entry to other instances soon.
func (g *Gateway) pushCrashNews(e *crashEntry) {
	if e.cleared {
		e.announced = true
	}
	if e.suspicion() != suspected {
		e.repeats = crashRepeats
	}
	g.queuePush(e)
}

func (g *Gateway) queuePush(e *crashEntry) {
	if p := &g.crashes.push; !e.pending {
		e.pending = true
		p.pending = append(p.pending, e)
	}
	g.schedulePush()
}

func (g *Gateway) schedulePush() {
	p := &g.crashes.push
	if p.scheduled || len(p.pending) == 0 {
		return
	}
	p.scheduled = true
	delay := time.Duration(0)
	if p.started {
		delay = max(0, p.pushedAt+crashPushInterval-g.now)
	}
	g.after(delay, g.pushPending)
}

// pushPending sends a round of the pending entries. Entries that don't fit wait for the next.
func (g *Gateway) pushPending() {
	p := &g.crashes.push
	p.scheduled, p.started, p.pushedAt = false, true, g.now
	entries, _ := takeEntries(firstEntries(p.pending, maxPushedCrashBytes/crashEntryBytes, comparePriority), maxPushedCrashBytes, g.now)
	var repeats []*crashEntry
	for _, e := range entries {
		e.pending = false
		if e.repeats > 0 {
			e.repeats--
			repeats = append(repeats, e)
		}
	}
	if len(repeats) > 0 {
		g.after(crashRepeatDelay, func() { g.repeatPush(repeats) })
	}
	p.pending = slices.DeleteFunc(p.pending, func(e *crashEntry) bool { return !e.pending })
	if len(entries) > 0 {
		news, names := newsOf(entries, g.now), g.shuffledMembers()
		for _, name := range names[:min(crashFanout, len(names))] {
			g.emit(SendState{To: g.members.byName[name].Address, State: StateMessage{Sender: g.self(), Crashes: news}})
		}
	}
	g.schedulePush()
}

// repeatPush queues entries for another round.
func (g *Gateway) repeatPush(entries []*crashEntry) {
	for _, e := range entries {
		if g.crashes.byDigest[e.digest] == e {
			g.queuePush(e)
		}
	}
}

// sendCrashTable sends what matters most of the table to an instance that has just started.
func (g *Gateway) sendCrashTable(to string) {
	if len(g.crashes.entries) == 0 {
		return
	}
	entries, _ := takeEntries(firstEntries(g.crashes.entries, maxCrashTableBytes/crashEntryBytes, comparePriority), maxCrashTableBytes, g.now)
	g.emit(SendState{To: to, State: StateMessage{Sender: g.self(), Crashes: newsOf(entries, g.now)}})
}

// regularCrashNews returns the news for a regular state message and its size. An entry's turn
// comes with the time since it was last sent, the sooner the higher its priority is.
func (g *Gateway) regularCrashNews() (news []CrashNews, bytes int) {
	if len(g.crashes.entries) == 0 {
		return nil, 0
	}
	due := func(e *crashEntry) time.Duration { return min(g.now-e.sentAt, holdTime) << (2 * e.priority()) }
	entries := firstEntries(g.crashes.entries, maxRegularCrashBytes/crashEntryBytes, func(a, b *crashEntry) int {
		if c := cmp.Compare(due(b), due(a)); c != 0 {
			return c
		}
		return comparePriority(a, b)
	})
	entries, bytes = takeEntries(entries, maxRegularCrashBytes, g.now)
	return newsOf(entries, g.now), bytes
}

// isValid reports whether news can be used. News that is about to expire is not, as another
// instance may have forgotten the request already.
func (n CrashNews) isValid() bool {
	lifetime := min(suspicionTime, holdTime)
	if n.Cleared {
		lifetime = clearedTime
	}
	return n.Digest != 0 && n.Organisation != 0 && (n.Cleared || (n.Incarnation != 0 && n.Attempt != 0)) &&
		n.Age >= 0 && n.Age < lifetime-crashExpiryMargin
}

// receiveCrashNews merges news from another instance. What it sends of one request is
// consecutive.
func (g *Gateway) receiveCrashNews(news []CrashNews) {
	news = slices.Clone(news[:min(len(news), maxReceivedCrashNews)])
	news = slices.DeleteFunc(news, func(n CrashNews) bool { return !n.isValid() })
	for len(news) > 0 {
		n := 1
		for n < len(news) && news[n].Digest == news[0].Digest {
			n++
		}
		g.mergeCrashNews(news[:n])
		news = news[n:]
	}
}

// mergeCrashNews merges the news of one request.
func (g *Gateway) mergeCrashNews(news []CrashNews) {
	in := &crashEntry{digest: news[0].Digest, organisation: news[0].Organisation}
	age := news[0].Age
	for _, n := range news {
		age = min(age, n.Age)
		if n.Cleared {
			in.cleared = true
			continue
		}
		in.add(crash{incarnation: n.Incarnation, attempt: n.Attempt})
	}
	in.activeAt, in.since = g.now-age, g.now-age
	if in.cleared {
		in.crashes, in.count = nil, 0
	}
	e := g.crashes.byDigest[in.digest]
	if e == nil {
		g.learnCrashes(in)
		return
	}
	switch {
	case e.cleared:
		// The sender may not know yet that the request was cleared.
		if !in.cleared && !e.announced {
			g.pushCrashNews(e)
		}
	case in.cleared:
		g.clearCrashes(e, in.activeAt)
	default:
		for _, c := range in.crashes {
			g.addCrash(e, c)
		}
	}
	// Ages lack the time that messages take. Without the slack, they would shrink with each
	// exchange between two instances.
	if in.cleared == e.cleared && in.activeAt > e.activeAt+crashTimeSlack {
		e.activeAt = in.activeAt
	}
}

// learnCrashes adds the entry of a request that this instance did not know.
func (g *Gateway) learnCrashes(e *crashEntry) {
	if !e.cleared && g.crashes.completed.contains(e.digest, g.now) {
		e.cleared, e.crashes, e.count, e.activeAt = true, nil, 0, g.now
	}
	if !g.addCrashEntry(e, false) {
		return
	}
	g.pushCrashNews(e)
	switch e.suspicion() {
	case suspected:
		g.crashEvent("RequestSuspected", e, "unsuspected", "suspected")
	case held:
		g.crashEvent("RequestHeld", e, "unsuspected", "held")
	}
}
