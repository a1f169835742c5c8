package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case "late": the store does the last report of a server before its departure late, after
// the server's entry was removed. The reports before it changed nothing but the seq, which the
// store does not show.

const (
	// lostFrom and lostTime are the begin and the length of the disruption, after which a write
	// is done late by lateBy. The store is stable again stableAfter its end.
	lostFrom, lostTime, lateBy = 2 * time.Second, 4500 * time.Millisecond, 6 * time.Second
	stableAfter                = 4 * time.Second
	// drainBound is drain_ms. The leaving server serves on for servesOn after its removal.
	drainBound, servesOn = 3 * time.Second, 4500 * time.Millisecond
	// leavingServers of the 15 servers leave: scale_in is for a share of 0.13 to 0.15. lateWork is
	// the longest work of an order on the site.
	leavingServers = 2
	lateWork       = 540 * time.Millisecond
	lateEnd        = 18 * time.Second
)

func runLate(l *lab, trouble bool) error {
	if err := startOrders(l, []string{"ikeja", "lekki"}, []string{"ikeja", "lekki", "yaba", "apapa", "ikeja", "lekki", "yaba"}, lateWork); err != nil {
		return err
	}
	leaving := l.servers[:leavingServers]
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	var running sync.WaitGroup
	for i, s := range l.servers {
		running.Go(func() { l.reportLate(s, i < leavingServers, trouble, at) })
	}
	removedAt := make([]time.Time, leavingServers)
	for i, s := range leaving {
		running.Go(func() {
			at(lostFrom + lostTime + stableAfter + 50*time.Millisecond)
			s.leave()
			l.store.put(entryKey(s), nil)
			removedAt[i] = time.Now()
			l.rec.add("server %s leaves: its entry is removed and the store has acknowledged it", s.id)
			time.Sleep(servesOn)
			s.exit()
			l.rec.add("server %s ends", s.id)
		})
		// As the store's lease does, the entry lapses after three intervals without a report.
		running.Go(func() {
			at(lostFrom + lostTime - 50*time.Millisecond + lateBy + 3*heartbeat)
			l.store.put(entryKey(s), nil)
		})
	}
	var mu sync.Mutex
	answers := make(map[string]answer) // by attempt
	for n := 0; time.Since(began) < lateEnd; n++ {
		attempt := fmt.Sprintf("order%d", n)
		running.Go(func() {
			a := l.send(l.instances[n%len(l.instances)], "POST", orderHost, "/order/book", attempt, "body of "+attempt, orderDeadline)
			mu.Lock()
			defer mu.Unlock()
			answers[attempt] = a
		})
		time.Sleep(orderInterval)
	}
	running.Wait()
	late, lost := 0, 0
	for i, s := range leaving {
		for id, arrived := range s.arrivals() {
			after := arrived.Sub(removedAt[i])
			if after <= drainBound {
				continue
			}
			late++
			l.rec.add("DRAIN: %s reached server %s %v after its removal was acknowledged, and its client got status %d", id, s.id, after, answers[id].status)
			if answers[id].status != http.StatusOK {
				lost++
			}
		}
	}
	l.rec.add("%d orders, %d reached a server later than %v after its removal was acknowledged, %d of them were lost", len(answers), late, drainBound, lost)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests reached servers that had left, %d of them were lost", errBroken, late, lost)
	}
	return nil
}

// reportLate writes a server's reports. If it leaves, they end with its departure, and in trouble
// the last one within the disruption gets no answer and is done late.
func (l *lab) reportLate(s *server, leaves, trouble bool, at func(time.Duration)) {
	for d := heartbeat; d < lateEnd; d += heartbeat {
		switch {
		case leaves && d > lostFrom+lostTime+stableAfter:
			return
		case leaves && trouble && d <= lostFrom+lostTime && d+heartbeat > lostFrom+lostTime:
			at(lostFrom + lostTime - 50*time.Millisecond)
			entry := s.entry("ready", l.born)
			l.rec.add("disruption: the report %s of %s gets no answer and is done %v later", entry, s.id, lateBy)
			time.AfterFunc(lateBy, func() {
				l.rec.add("disruption: the late write for %s is done, changed %v", s.id, l.store.putEntry(entryKey(s), entry))
			})
		default:
			at(d)
			l.store.putEntry(entryKey(s), s.entry("ready", l.born))
		}
	}
}

// entryKey returns the key of a server's entry.
func entryKey(s *server) string { return "servers/" + s.id }
