package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["forged"] = forgedCase }

// forgedCase sends bookings for order-desk while another writer replaces the entry of a server of
// crew-board by one that lacks the field version and names order-desk.
func forgedCase(dir string, trouble bool) bool {
	st := startStore("127.0.30.1")
	zones := []string{"ikeja", "lekki", "yaba", "apapa"}
	var order, crew []*server
	for i := range 4 {
		order = append(order, startServer(fmt.Sprintf("127.0.31.%d", i+1), fmt.Sprintf("i-order%d", i), "order-desk", zones[i], 2, 40*time.Millisecond, st))
	}
	for i := range 2 {
		crew = append(crew, startServer(fmt.Sprintf("127.0.32.%d", i+1), fmt.Sprintf("i-crew%d", i), "crew-board", zones[i], 2, 40*time.Millisecond, st))
	}
	config := bookingConfig("order-desk", 0)
	config["routes"] = append(config["routes"].([]any), map[string]any{"name": "r-crew", "hostname": bookingHost, "prefix": "/crew/", "route_type": "safe",
		"timeout_ms": 4000, "target_latency_ms": 400, "priority": 2, "service": "crew-board", "max_attempts": 2})
	config["services"] = append(config["services"].([]any), map[string]any{"name": "crew-board", "health_path": "/health", "max_connections": 100,
		"protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0})
	st.put("op/config", config)
	instances := startInstances(dir, st, []string{"ikeja", "lekki", "yaba"})
	stop := make(chan struct{})
	go func() {
		time.Sleep(5 * time.Second)
		if trouble {
			entry := map[string]any{"service": "order-desk", "address": crew[0].address, "zone": crew[0].zone, "slots": 2,
				"state": "ready", "warmup_left_ms": 0, "seq": 1000, "born": time.Now().UnixMilli()}
			st.put("servers/"+crew[0].id, entry)
			recordLine("%s another writer writes servers/%s: %v", seconds(time.Now()), crew[0].id, entry)
		}
		time.Sleep(8 * time.Second)
		close(stop)
	}()
	all := traffic(instances, 30, stop, func(hc *http.Client, in *instance) attempt {
		return send(hc, in, http.MethodPost, bookingHost, bookingPath+"x", `{"timber":"iroko"}`, 4*time.Second)
	})
	ran := map[string]string{}
	for _, s := range append(order, crew...) {
		for _, r := range s.allRuns() {
			ran[r.id] += fmt.Sprintf(" %s of %s at %s", s.id, s.service, seconds(r.at))
		}
	}
	served, wrong := 0, 0
	for _, a := range all {
		if a.status == 200 {
			served++
		}
		recordLine("%s sent %s %s to %s: status %d after %d ms, stamp %q, run by%s", seconds(a.sentAt), a.id, bookingPath, a.instance, a.status, a.took.Milliseconds(), a.stamp, ran[a.id])
	}
	var first, last time.Time
	for _, s := range crew {
		for _, r := range s.allRuns() {
			if wrong++; first.IsZero() || r.at.Before(first) {
				first = r.at
			}
			if r.at.After(last) {
				last = r.at
			}
		}
	}
	note("%d bookings for order-desk: %d served, %d run by servers of crew-board", len(all), served, wrong)
	if wrong > 0 {
		note("the first at %s, the last at %s", seconds(first), seconds(last))
	}
	if served == 0 {
		cannotRun("no booking was served")
	}
	return wrong > 0
}
