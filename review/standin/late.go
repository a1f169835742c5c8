package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late"] = lateCase }

// Times of the case, from the start of the traffic.
const (
	lostFrom     = 2500 * time.Millisecond
	lostFor      = 4500 * time.Millisecond // for_s of platform_lost
	lateDelay    = 5900 * time.Millisecond // 1 to 6 s
	contact      = 4 * time.Second         // contact_ms
	leaveAt      = lostFrom + lostFor + contact + 200*time.Millisecond
	drainTime    = 3 * time.Second // drain_ms
	servesOn     = 4 * time.Second // how long the server serves after it has left the store
	lateCaseTime = leaveAt + servesOn + 2*time.Second
)

// lateCase loses the answer to one report of a server; the store does that write 5.9 s later.
// The server leaves in between, while the store is stable, and serves on for 4 s.
func lateCase(dir string, trouble bool) bool {
	st := startStore("127.0.30.1")
	zones := []string{"ikeja", "lekki", "yaba", "apapa"}
	var servers []*server
	for i := range 5 {
		servers = append(servers, startServer(fmt.Sprintf("127.0.31.%d", i+1), fmt.Sprintf("i-order%d", i), "order-desk", zones[i%4], 4, 200*time.Millisecond, st))
	}
	st.put("op/config", bookingConfig("order-desk", 0))
	instances := startInstances(dir, st, []string{"ikeja", "lekki", "yaba"})
	leaver := servers[0]
	begin := time.Now()
	if trouble {
		var once sync.Once
		leaver.mu.Lock()
		leaver.lateBy = func() (late time.Duration) {
			// The last report of the leaver during the disruption.
			if t := time.Since(begin); t > lostFrom+lostFor-heartbeat && t < lostFrom+lostFor {
				once.Do(func() { late = lateDelay })
			}
			return late
		}
		leaver.mu.Unlock()
	}
	stop := make(chan struct{})
	var leftAt time.Time
	go func() {
		time.Sleep(leaveAt)
		taken := leaver.leave()
		leftAt = time.Now()
		recordLine("%s %s has left the store, acknowledged: %v", seconds(leftAt), leaver.id, taken)
		time.Sleep(servesOn)
		recordLine("%s %s ends", seconds(time.Now()), leaver.id)
		leaver.stop()
		time.Sleep(lateCaseTime - leaveAt - servesOn)
		close(stop)
	}()
	all := traffic(instances, 80, stop, func(hc *http.Client, in *instance) attempt {
		return send(hc, in, http.MethodPost, bookingHost, bookingPath+"x", `{"timber":"iroko"}`, 4*time.Second)
	})
	served := 0
	for _, a := range all {
		if a.status == 200 {
			served++
		}
		recordLine("%s sent %s to %s: status %d after %d ms, stamp %q", seconds(a.sentAt), a.id, a.instance, a.status, a.took.Milliseconds(), a.stamp)
	}
	late, after := 0, 0
	for _, r := range leaver.allRuns() {
		verdict := ""
		if r.at.After(leftAt) {
			after++
		}
		if r.at.After(leftAt.Add(drainTime)) {
			late++
			verdict = "DRAIN"
		}
		recordLine("%s %s runs %s %s", seconds(r.at), leaver.id, r.id, verdict)
	}
	note("%d bookings: %d served, %d not; %s got %d requests after it had left the store at %s, %d of them later than %v after that",
		len(all), served, len(all)-served, leaver.id, after, seconds(leftAt), late, drainTime)
	if served == 0 {
		cannotRun("no booking was served")
	}
	return late > 0
}
