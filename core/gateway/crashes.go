package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"galenadyke.dev/core/rank"
)

// A request may crash every target that begins to run it. Its caller repeats it at any
// instance, so each instance may see only one of the crashes. Instances therefore share a
// table of the requests that were in flight at targets that crashed. It is soft state: bounded,
// expiring, and rebuilt from the other instances after a restart.

// RequestDigest identifies requests that are equal, by a keyed hash over all that a target
// sees of them. 0 means that the digest is unknown; such a request is not followed.
type RequestDigest uint64

// suspicion tells how a request with a digest may be sent.
type suspicion uint8

const (
	// unsuspected requests are sent as usual.
	unsuspected suspicion = iota
	// suspected requests were in flight at a target that crashed.
	suspected
	// held requests have maxCrashes crashes and are not sent.
	held
)

// crash is the end of a target's process while a request was in flight there. It is known by
// hashes that are the same at all instances, as several may see it.
type crash struct {
	incarnation uint32 // of the target
	attempt     uint32 // of the caller
	// target describes the target if this instance saw the crash, else it is empty.
	target string
}

// crashEntry is a row of the table of crashes.
type crashEntry struct {
	digest       RequestDigest
	organisation uint32 // hash of the caller's organisation
	// crashes have at most maxCrashRecords distinct incarnations and as many distinct
	// attempts. count is the smaller of the two numbers: one attempt at many targets that
	// end together is one crash.
	crashes []crash
	count   int
	// cleared is set once a target has completed the request. The entry then only keeps
	// later news of the crashes from counting.
	cleared bool
	// activeAt is the time of the last crash, refused arrival or completion, and since that
	// of the first one.
	activeAt, since time.Duration
	// pending is set while the entry waits to be pushed. repeats is the number of times that
	// it is to be pushed after that. sentAt is when it was last sent.
	pending bool
	repeats int
	sentAt  time.Duration
	// announced is set once other instances have been told that the request was cleared.
	announced bool
}

// crashTable is the table of crashes of an instance.
type crashTable struct {
	byDigest map[RequestDigest]*crashEntry
	entries  []*crashEntry // in the order in which they were added
	counts   map[crashQuota]int
	// completed remembers requests that targets completed lately for this instance.
	completed recentDigests
	push      crashPush
}

// crashQuota names entries that share one bound.
type crashQuota struct {
	organisation uint32
	cleared      bool
}

func newCrashTable() crashTable {
	return crashTable{byDigest: make(map[RequestDigest]*crashEntry), counts: make(map[crashQuota]int)}
}

func (e *crashEntry) quota() crashQuota { return crashQuota{e.organisation, e.cleared} }

func (e *crashEntry) suspicion() suspicion {
	switch {
	case e.cleared:
		return unsuspected
	case e.count < maxCrashes:
		return suspected
	default:
		return held
	}
}

// lifetime returns how long an entry is kept after activeAt.
func (e *crashEntry) lifetime() time.Duration {
	switch {
	case e.cleared:
		return clearedTime
	case e.count < maxCrashes:
		return suspicionTime
	default:
		return holdTime
	}
}

// add records a crash and reports whether it is one that the entry did not cover.
func (e *crashEntry) add(c crash) bool {
	incarnations, attempts := distinctCrashes(e.crashes)
	newIncarnation := !slices.ContainsFunc(e.crashes, func(o crash) bool { return o.incarnation == c.incarnation })
	newAttempt := !slices.ContainsFunc(e.crashes, func(o crash) bool { return o.attempt == c.attempt })
	newIncarnation = newIncarnation && incarnations < maxCrashRecords
	newAttempt = newAttempt && attempts < maxCrashRecords
	if !newIncarnation && !newAttempt {
		return false
	}
	e.crashes = append(e.crashes, c)
	e.count = min(distinctCrashes(e.crashes))
	return true
}

// distinctCrashes counts the distinct incarnations and the distinct attempts of crashes.
func distinctCrashes(crashes []crash) (incarnations, attempts int) {
	for i, c := range crashes {
		if !slices.ContainsFunc(crashes[:i], func(o crash) bool { return o.incarnation == c.incarnation }) {
			incarnations++
		}
		if !slices.ContainsFunc(crashes[:i], func(o crash) bool { return o.attempt == c.attempt }) {
			attempts++
		}
	}
	return incarnations, attempts
}

// describe lists the crashes of an entry and their age, for the log.
func (e *crashEntry) describe(now time.Duration) string {
	targets := make([]string, len(e.crashes))
	for i, c := range e.crashes {
		targets[i] = fmt.Sprintf("%08x", c.incarnation)
		if c.target != "" {
			targets[i] = c.target + " " + targets[i]
		}
	}
	return fmt.Sprintf("%d crashes in %.1f s, targets %s", e.count, (now - e.since).Seconds(), strings.Join(targets, ", "))
}

var (
	organisationKey = rank.Hash("organisation")
	attemptKey      = rank.Hash("attempt")
)

// crashHash returns a hash for the table of crashes. It is never 0, which marks a missing hash.
func crashHash(key uint64, name string) uint32 {
	return uint32(max(1, rank.Score(key, rank.Hash(name))>>32))
}

// incarnationHash identifies one run of a target's process.
func (t *target) incarnationHash() uint32 {
	return crashHash(uint64(t.StartedAtMillis), string(t.ID))
}

// suspicionOf tells how a request may be sent.
func (g *Gateway) suspicionOf(d RequestDigest) suspicion {
	if e := g.crashes.byDigest[d]; e != nil {
		return e.suspicion()
	}
	return unsuspected
}

// isCleared reports whether a target is known to have completed a request.
func (g *Gateway) isCleared(d RequestDigest) bool {
	e := g.crashes.byDigest[d]
	return e != nil && e.cleared || g.crashes.completed.contains(d, g.now)
}

// crashSeen records that a target crashed while this instance, or one that it forwards for,
// had a request in flight there. organisation is that of the caller, or else the route.
func (g *Gateway) crashSeen(d RequestDigest, organisation string, t *target, attemptID string) {
	if d == 0 {
		return
	}
	if attemptID == "" {
		// Targets that crash together under one attempt count once.
		attemptID = fmt.Sprint(g.cfg.Self, g.now/time.Second)
	}
	c := crash{t.incarnationHash(), crashHash(attemptKey, attemptID), string(t.ID)}
	e := g.crashes.byDigest[d]
	if e == nil {
		e = &crashEntry{digest: d, organisation: crashHash(organisationKey, organisation), since: g.now, activeAt: g.now,
			cleared: g.crashes.completed.contains(d, g.now)}
		if !g.addCrashEntry(e, true) {
			return
		}
	}
	if e.cleared {
		return
	}
	e.activeAt = g.now
	g.addCrash(e, c)
}

// addCrash records a crash of an entry that is not cleared, and passes it on if it is new.
func (g *Gateway) addCrash(e *crashEntry, c crash) {
	before := e.suspicion()
	first := len(e.crashes) == 0
	if !e.add(c) {
		return
	}
	g.pushCrashNews(e)
	switch after := e.suspicion(); {
	case first:
		g.crashEvent("RequestSuspected", e, "unsuspected", "suspected")
	case after == held && before != held:
		g.crashEvent("RequestHeld", e, "suspected", "held")
	}
}

// requestCompleted records that a target completed a request, which clears it.
func (g *Gateway) requestCompleted(d RequestDigest) {
	if d == 0 {
		return
	}
	g.crashes.completed.add(d, g.now)
	if len(g.crashes.byDigest) == 0 {
		return
	}
	if e := g.crashes.byDigest[d]; e != nil && !e.cleared {
		g.clearCrashes(e, g.now)
	}
}

// clearCrashes marks the request of an entry as completed at a time, and passes it on.
func (g *Gateway) clearCrashes(e *crashEntry, at time.Duration) {
	before := e.suspicion()
	g.removeCrashEntry(e)
	cleared := &crashEntry{digest: e.digest, organisation: e.organisation, since: e.since, activeAt: at, cleared: true, announced: true}
	if g.addCrashEntry(cleared, true) {
		g.pushCrashNews(cleared)
	}
	g.crashEvent("RequestCleared", e, before.String(), "cleared")
}

// holdRefused records that an arrival of a held request was refused. It returns the number of
// crashes and how long the request would have been held without the arrival.
func (g *Gateway) holdRefused(d RequestDigest) (crashes int, retryAfter time.Duration) {
	e := g.crashes.byDigest[d]
	if e == nil || e.suspicion() != held {
		return 0, 0
	}
	retryAfter = max(0, e.activeAt+holdTime-g.now)
	e.activeAt = g.now
	return e.count, retryAfter
}

// String returns the name used in logs.
func (s suspicion) String() string { return [...]string{"unsuspected", "suspected", "held"}[s] }

func (g *Gateway) crashEvent(name string, e *crashEntry, before, after string) {
	g.emit(Event{Name: name, Subject: fmt.Sprintf("%016x", uint64(e.digest)), Before: before,
		After: after + ": " + e.describe(g.now), Warning: name == "RequestHeld"})
}

// addCrashEntry adds an entry, in the place of another one of the same organisation if that is
// at its bound. It reports false if the entry finds no place. An entry that was reported by
// another instance must rank higher than the one whose place it takes, so that all instances
// keep the same entries and do not bring back what others have dropped.
func (g *Gateway) addCrashEntry(e *crashEntry, local bool) bool {
	t := &g.crashes
	own := t.counts[e.quota()]
	if own >= maxOrganisationEntries || len(t.entries) >= maxCrashEntries {
		if own == 0 {
			return false
		}
		last := t.lowestOf(e.quota())
		if !local && last.count >= e.count && (last.count > e.count || last.activeAt+crashTimeSlack >= e.activeAt) {
			return false
		}
		g.removeCrashEntry(last)
		if !last.cleared {
			g.crashEvent("RequestExpired", last, last.suspicion().String(), "displaced")
		}
	}
	t.byDigest[e.digest] = e
	t.entries = append(t.entries, e)
	t.counts[e.quota()]++
	return true
}

// lowestOf returns the entry with the fewest crashes, and of these the oldest.
func (t *crashTable) lowestOf(q crashQuota) *crashEntry {
	var lowest *crashEntry
	for _, e := range t.entries {
		if e.quota() == q && (lowest == nil || cmp.Or(cmp.Compare(e.count, lowest.count), cmp.Compare(e.activeAt, lowest.activeAt)) < 0) {
			lowest = e
		}
	}
	return lowest
}

func (g *Gateway) removeCrashEntry(e *crashEntry) {
	g.crashes.entries = slices.DeleteFunc(g.crashes.entries, func(o *crashEntry) bool { return o == e })
	g.crashes.drop(e)
}

// drop removes an entry from all but the list of entries.
func (t *crashTable) drop(e *crashEntry) {
	delete(t.byDigest, e.digest)
	if t.counts[e.quota()]--; t.counts[e.quota()] == 0 {
		delete(t.counts, e.quota())
	}
	if e.pending {
		t.push.pending = slices.DeleteFunc(t.push.pending, func(o *crashEntry) bool { return o == e })
		e.pending = false
	}
}

// expireCrashes removes entries whose lifetime has ended.
func (g *Gateway) expireCrashes() {
	g.crashes.entries = slices.DeleteFunc(g.crashes.entries, func(e *crashEntry) bool {
		if g.now-e.activeAt <= e.lifetime() {
			return false
		}
		g.crashes.drop(e)
		if !e.cleared {
			g.crashEvent("RequestExpired", e, e.suspicion().String(), "unsuspected")
		}
		return true
	})
}

// recentDigests remembers digests for completionMemory to twice that time, in two generations.
// Each is a table in which a digest replaces another one with the same lower bits.
type recentDigests struct {
	present, former []RequestDigest
	startedAt       time.Duration // of the present generation
}

func (r *recentDigests) add(d RequestDigest, now time.Duration) {
	if r.present == nil {
		r.present, r.former, r.startedAt = make([]RequestDigest, completedDigests), make([]RequestDigest, completedDigests), now
	}
	r.rotate(now)
	r.present[d%completedDigests] = d
}

// contains reports whether a digest other than 0 was added lately.
func (r *recentDigests) contains(d RequestDigest, now time.Duration) bool {
	if r.present == nil {
		return false
	}
	r.rotate(now)
	return r.present[d%completedDigests] == d || r.former[d%completedDigests] == d
}

// rotate begins a new generation once the present one is completionMemory old.
func (r *recentDigests) rotate(now time.Duration) {
	age := now - r.startedAt
	if age < completionMemory {
		return
	}
	r.present, r.former, r.startedAt = r.former, r.present, now
	clear(r.present)
	if age >= 2*completionMemory {
		clear(r.former)
	}
}
