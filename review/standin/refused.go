package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = refusedCase }

const (
	bookingHost = "orders.example"
	bookingPath = "/book/"
)

// bookingConfig is a configuration with one route that must not be repeated.
func bookingConfig(service string, warmupPerS float64) map[string]any {
	return map[string]any{"version": 7,
		"routes": []any{map[string]any{"name": "r-book", "hostname": bookingHost, "prefix": bookingPath, "route_type": "unsafe",
			"timeout_ms": 4000, "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": warmupPerS}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// refusedCase sends bookings, which may run once, while one of seven servers fails 0.4 of the
// bookings that it has run with status 503 and without Galenadyke-Not-Executed. The clients
// try a booking once more after a promise, as PROTOCOL.md allows.
func refusedCase(dir string, trouble bool) bool {
	st := startStore("127.0.30.1")
	zones := []string{"ikeja", "lekki", "yaba", "apapa"}
	var servers []*server
	for i := range 7 {
		servers = append(servers, startServer(fmt.Sprintf("127.0.31.%d", i+1), fmt.Sprintf("i-order%d", i), "order-desk", zones[i%4], 2, 40*time.Millisecond, st))
	}
	st.put("op/config", bookingConfig("order-desk", 0))
	instances := startInstances(dir, st, []string{"ikeja", "lekki", "yaba"})
	if trouble {
		grey := servers[0]
		grey.mu.Lock()
		grey.answer = func(id string) int {
			h := fnv.New32a()
			h.Write([]byte(id))
			if h.Sum32()%10 < 4 {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		}
		grey.mu.Unlock()
	}
	stop := make(chan struct{})
	time.AfterFunc(6500*time.Millisecond, func() { close(stop) })
	var mu sync.Mutex
	second := map[string]attempt{} // the second attempt at a booking, by the ID of the first
	book := func(hc *http.Client, in *instance) attempt {
		return send(hc, in, http.MethodPost, bookingHost, bookingPath+"x", `{"timber":"iroko"}`, 4*time.Second)
	}
	first := traffic(instances, 40, stop, func(hc *http.Client, in *instance) attempt {
		a := book(hc, in)
		if isPromise(a.status) {
			again := book(newClient(), instances[(len(a.id)+1)%len(instances)])
			mu.Lock()
			defer mu.Unlock()
			second[a.id] = again
		}
		return a
	})
	return judgeRefused(first, second, servers)
}

// judgeRefused checks REFUSED and TWICE: no request that has run is answered 429, 503, 408 or
// 421, and none runs twice.
func judgeRefused(first []attempt, second map[string]attempt, servers []*server) bool {
	ran := map[string][]string{}
	for _, s := range servers {
		for _, r := range s.allRuns() {
			ran[r.id] = append(ran[r.id], fmt.Sprintf("%s at %s with status %d", s.id, seconds(r.at), r.status))
		}
	}
	refused, twice, served, doubled := 0, 0, 0, 0
	judge := func(a attempt) {
		verdict := ""
		switch {
		case len(ran[a.id]) > 1:
			twice++
			verdict = "TWICE"
		case len(ran[a.id]) == 1 && isPromise(a.status):
			refused++
			verdict = "REFUSED"
		case a.status == 200:
			served++
		}
		recordLine("%s sent %s to %s: status %d after %d ms, stamp %q, run %v %s", seconds(a.sentAt), a.id, a.instance, a.status, a.took.Milliseconds(), a.stamp, ran[a.id], verdict)
	}
	for _, a := range first {
		judge(a)
		if again, ok := second[a.id]; ok {
			recordLine("  the client tries this booking again as %s:", again.id)
			judge(again)
			if len(ran[a.id])+len(ran[again.id]) > 1 {
				doubled++
			}
		}
	}
	note("%d bookings: %d attempts served, %d answered with a promise not to have run though they ran, %d attempts ran twice, %d bookings were made twice",
		len(first), served, refused, twice, doubled)
	if served == 0 {
		cannotRun("no booking was served")
	}
	return refused+twice > 0
}
