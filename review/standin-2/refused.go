package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The case "refused": servers fail part of their requests, and their failure is a 503 without
// Galenadyke-Not-Executed, which states nothing of whether the request has run.

const (
	refusedHost = "orders.example"
	// refusedInterval is the time between two bookings: 22.5 a second, the rate of the single
	// order requests of the site canopy-lagos.
	refusedInterval = 10 * time.Second / 225
	// refusedCalm and refusedTrouble are the times before and during the disruption: srv_grey
	// lasts 6.5 s in the site file.
	refusedCalm    = 3 * time.Second
	refusedTrouble = 6500 * time.Millisecond
	// refusedServers and greyServers: srv_grey is for a share of 0.15 of the servers at most.
	refusedServers = 10
	greyServers    = 1
	// Of each refusedCycle requests, the first refusedFailures fail: srv_grey fails 0.4 of them.
	refusedCycle, refusedFailures = 5, 2
	// refusedDeadline is how long a client waits for an answer.
	refusedDeadline = 4 * time.Second
	greyStatus      = 503
)

func runRefused(l *lab, trouble bool) error {
	zones := []string{"ikeja", "lekki", "yaba", "apapa"}
	if err := l.listenStore(); err != nil {
		return err
	}
	for i := range refusedServers {
		s := &server{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "order-desk", zone: zones[i%len(zones)], slots: 2, queue: 8, work: 90 * time.Millisecond}
		if err := l.addServer(s); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(map[string]any{"version": 7,
		"routes": []any{map[string]any{"name": "order", "hostname": refusedHost, "prefix": "/order/", "route_type": "unsafe",
			"timeout_ms": 4000, "target_latency_ms": 400, "priority": 2, "service": "order-desk", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "order-desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": 0.0}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		return err
	}
	l.store.put("op/config", raw)
	if err := l.addInstances(zones); err != nil {
		return err
	}
	var mu sync.Mutex
	answers := make(map[string]answer) // by attempt
	var running sync.WaitGroup
	book := func(order int) {
		// A client repeats an unsafe request once, only after a promise, at another instance.
		for try := range 2 {
			attempt := fmt.Sprintf("order%d-try%d", order, try)
			a := l.send(l.instances[(order+try)%len(l.instances)], "POST", refusedHost, "/order/book", attempt, fmt.Sprintf("order %d", order), refusedDeadline)
			mu.Lock()
			answers[attempt] = a
			mu.Unlock()
			if !isPromise(a.status) {
				return
			}
			time.Sleep(min(a.retryAfter, refusedDeadline/3))
		}
	}
	began := time.Now()
	disturbed := false
	for order := 0; time.Since(began) < refusedCalm+refusedTrouble; order++ {
		if trouble && !disturbed && time.Since(began) >= refusedCalm {
			disturbed = true
			for _, s := range l.servers[:greyServers] {
				n := 0
				l.rec.add("disruption: server %s fails %d of %d requests with status %d", s.id, refusedFailures, refusedCycle, greyStatus)
				s.setFail(func() int {
					mu.Lock()
					defer mu.Unlock()
					n++
					if (n-1)%refusedCycle < refusedFailures {
						return greyStatus
					}
					return 0
				})
			}
		}
		running.Go(func() { book(order) })
		time.Sleep(refusedInterval)
	}
	running.Wait()
	return checkRefused(l, answers)
}

// checkRefused checks REFUSED: no unsafe request that was answered with a promise has run. For
// the record, it also counts the orders that ran more than once because their client trusted the
// promise.
func checkRefused(l *lab, answers map[string]answer) error {
	broken, promised := 0, 0
	orderRuns := make(map[string]int)
	for attempt, a := range answers {
		runs := 0
		for _, s := range l.servers {
			runs += s.runs(attempt)
		}
		order, _, _ := strings.Cut(attempt, "-")
		orderRuns[order] += runs
		if isPromise(a.status) {
			promised++
			if runs > 0 {
				broken++
				l.rec.add("REFUSED: attempt %s was answered %d and has run %d times", attempt, a.status, runs)
			}
		}
	}
	doubled := 0
	for order, runs := range orderRuns {
		if runs > 1 {
			doubled++
			l.rec.add("%s was made %d times, as its client repeated it after the promise", order, runs)
		}
	}
	l.rec.add("%d client attempts, %d answered with a promise, %d of them had run, %d orders made more than once", len(answers), promised, broken, doubled)
	if broken > 0 {
		return fmt.Errorf("%w: REFUSED, %d requests were refused as not run and had run", errBroken, broken)
	}
	return nil
}
