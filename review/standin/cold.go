package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["cold"] = coldCase }

const (
	coldRate     = 5.0 // warmup_per_s
	coldFor      = 3 * time.Second
	coldBound    = coldRate*1.5 + 5 // warmup_per_s x warmup_overshoot + warmup_slack
	coldPerS     = 60
	outageLength = 4500 * time.Millisecond
)

// coldCase makes a server cold again while the store is down. The server's health answers say
// so all the while.
func coldCase(dir string, trouble bool) bool {
	st := startStore("127.0.30.1")
	zones := []string{"ikeja", "lekki"}
	var servers []*server
	for i := range 2 {
		servers = append(servers, startServer(fmt.Sprintf("127.0.31.%d", i+1), fmt.Sprintf("i-order%d", i), "order-desk", zones[i], 4, 30*time.Millisecond, st))
	}
	st.put("op/config", bookingConfig("order-desk", coldRate))
	instances := startInstances(dir, st, []string{"ikeja", "lekki"})
	stop := make(chan struct{})
	var coldAt time.Time
	go func() {
		time.Sleep(5 * time.Second)
		if trouble {
			st.setDown(true)
			recordLine("%s the store is down", seconds(time.Now()))
		}
		time.Sleep(time.Second)
		servers[0].mu.Lock()
		servers[0].crashRate = int(4 * coldRate)
		servers[0].mu.Unlock()
		coldAt = time.Now()
		taken := servers[0].becomeCold(coldFor)
		recordLine("%s %s is cold for %v; the store took its entry: %v", seconds(coldAt), servers[0].id, coldFor, taken)
		time.Sleep(outageLength - time.Second)
		st.setDown(false)
		time.Sleep(2 * time.Second)
		close(stop)
	}()
	all := traffic(instances, coldPerS, stop, func(hc *http.Client, in *instance) attempt {
		return send(hc, in, http.MethodPost, bookingHost, bookingPath+"x", `{"timber":"iroko"}`, 4*time.Second)
	})
	served, lost := 0, 0
	for _, a := range all {
		if a.status == 200 {
			served++
		} else {
			lost++
		}
		recordLine("%s sent %s to %s: status %d after %d ms, stamp %q", seconds(a.sentAt), a.id, a.instance, a.status, a.took.Milliseconds(), a.stamp)
	}
	most, at := 0, time.Time{}
	runs := servers[0].allRuns()
	for i, r := range runs {
		recordLine("%s %s runs %s", seconds(r.at), servers[0].id, r.id)
		if r.at.Before(coldAt) || r.at.After(coldAt.Add(coldFor-time.Second)) {
			continue
		}
		n := 0
		for _, other := range runs[i:] {
			if other.at.Sub(r.at) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, r.at
		}
	}
	note("%d bookings: %d served, %d not; the cold server got at most %d requests in one second (from %s), the bound is %.1f; it crashed %d times",
		len(all), served, lost, most, seconds(at), coldBound, servers[0].crashes)
	if served == 0 {
		cannotRun("no booking was served")
	}
	return float64(most) > coldBound
}
