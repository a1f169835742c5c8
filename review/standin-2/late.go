package main

import (
	"fmt"
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
	drainBound, servesOn = 3 * time.Second, 6 * time.Second
	lateEnd              = 18 * time.Second
)

func runLate(l *lab, trouble bool) error {
	if err := startOrders(l, []string{"ikeja", "lekki"}, []string{"ikeja", "lekki", "yaba", "apapa", "ikeja", "lekki", "yaba"}); err != nil {
		return err
	}
	leaving := l.servers[0]
	key := entryKey(leaving)
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	var removedAt time.Time
	var running sync.WaitGroup
	for _, s := range l.servers {
		running.Go(func() {
			for d := heartbeat; began.Add(d).Before(began.Add(lateEnd)); d += heartbeat {
				if s == leaving && d > lostFrom+lostTime+stableAfter {
					return // it has left by then
				}
				if s == leaving && trouble && d <= lostFrom+lostTime && d+heartbeat > lostFrom+lostTime {
					// The last report within the disruption is sent at its very end.
					at(lostFrom + lostTime - 50*time.Millisecond)
					entry := s.entry("ready", l.born)
					l.rec.add("disruption: the report %s of %s gets no answer and is done %v later", entry, s.id, lateBy)
					time.AfterFunc(lateBy, func() {
						l.rec.add("disruption: the late write is done, changed %v", l.store.putEntry(key, entry))
					})
					continue
				}
				at(d)
				l.store.putEntry(entryKey(s), s.entry("ready", l.born))
			}
		})
	}
	running.Go(func() {
		at(lostFrom + lostTime + stableAfter + 50*time.Millisecond)
		leaving.leave()
		l.store.put(key, nil)
		removedAt = time.Now()
		l.rec.add("server %s leaves: its entry is removed and the store has acknowledged it", leaving.id)
		time.Sleep(servesOn)
		leaving.exit()
		l.rec.add("server %s ends", leaving.id)
	})
	// As the store's lease does, the entry lapses after three intervals without a report.
	running.Go(func() {
		at(lostFrom + lostTime - 50*time.Millisecond + lateBy + 3*heartbeat)
		l.store.put(key, nil)
	})
	var orders []string
	for time.Since(began) < lateEnd {
		attempt := fmt.Sprintf("order%d", len(orders))
		in := l.instances[len(orders)%len(l.instances)]
		orders = append(orders, attempt)
		running.Go(func() { l.send(in, "POST", orderHost, "/order/book", attempt, "body of "+attempt, orderDeadline) })
		time.Sleep(orderInterval)
	}
	running.Wait()
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	late := 0
	for id, ran := range leaving.runAt {
		if after := ran.Sub(removedAt); after > drainBound {
			late++
			l.rec.add("DRAIN: %s reached server %s %v after its removal was acknowledged", id, leaving.id, after)
		}
	}
	l.rec.add("%d orders, %d reached the server later than %v after its removal was acknowledged", len(orders), late, drainBound)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests reached a server that had left", errBroken, late)
	}
	return nil
}

// entryKey returns the key of a server's entry.
func entryKey(s *server) string { return "servers/" + s.id }
