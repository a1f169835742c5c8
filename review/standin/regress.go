package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["regress"] = regressCase }

const (
	searchHost  = "search.example"
	searchPath  = "/find/"
	shardCount  = 6
	revertSlack = 250 * time.Millisecond // revert_slack_ms
	refusedFor  = 9 * time.Second        // for_s of platform_down, how nodes
)

// searchConfig is a configuration with one route that gathers from six shards of a set.
func searchConfig(version int, set string) map[string]any {
	var gather, services []any
	for i := range shardCount {
		name := fmt.Sprintf("%s%d", set, i)
		gather = append(gather, name)
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 60, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": 0.0})
	}
	return map[string]any{"version": version,
		"routes": []any{map[string]any{"name": "r-find", "hostname": searchHost, "prefix": searchPath, "route_type": "safe", "timeout_ms": 1000,
			"target_latency_ms": 120, "priority": 1, "gather": gather, "max_attempts": 2, "top_k": 5, "min_coverage": 0.75}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// regressCase replaces the set of shards while the store turns one of three instances away.
func regressCase(dir string, trouble bool) bool {
	st := startStore("127.0.30.1")
	var instances []*instance
	var mu sync.Mutex // guards instances
	sender := func(c net.Conn) string {
		mu.Lock()
		defer mu.Unlock()
		return senderOf(c, instances)
	}
	sets := map[string][]*server{}
	for k, set := range []string{"old", "new"} {
		for i := range shardCount {
			zones := []string{"ikeja", "lekki"}
			if i >= shardCount/2 {
				zones[0] = "lekki"
			}
			for r, zone := range zones {
				id := fmt.Sprintf("i-%s%d-%d", set, i, r)
				s := startServer(fmt.Sprintf("127.0.%d.%d", 31+k, 2*i+r+1), id, fmt.Sprintf("%s%d", set, i), zone, 4, 10*time.Millisecond, st)
				s.mu.Lock()
				s.sender, s.records = sender, fmt.Sprintf("%-16s%-16s", id, id+"b")
				s.mu.Unlock()
				sets[set] = append(sets[set], s)
			}
		}
	}
	st.put("op/config", searchConfig(7, "old"))
	started := startInstances(dir, st, []string{"ikeja", "lekki", "yaba"})
	mu.Lock()
	instances = started
	mu.Unlock()
	stop := make(chan struct{})
	var publishedAt time.Time
	go func() {
		time.Sleep(6 * time.Second)
		if trouble {
			st.setSilent(started[0].store, true)
			recordLine("%s the store turns %s away", seconds(time.Now()), started[0].name)
		}
		time.Sleep(500 * time.Millisecond)
		st.put("op/config", searchConfig(9, "new"))
		publishedAt = time.Now()
		recordLine("%s version 9 is confirmed: the set new", seconds(publishedAt))
		time.Sleep(refusedFor - 500*time.Millisecond)
		st.setSilent(started[0].store, false)
		close(stop)
	}()
	all := traffic(started, 120, stop, func(hc *http.Client, in *instance) attempt {
		return send(hc, in, http.MethodGet, searchHost, searchPath+"x", "", time.Second)
	})
	return judgeRegress(all, sets, started, started[0])
}

// judgeRegress checks CONFIG: no request that was sent more than revertSlack after a server saw
// the effect of the later version from an instance is sent by that instance to the older set. The instance
// that the store turns away isn't in touch, and doesn't count.
func judgeRegress(all []attempt, sets map[string][]*server, instances []*instance, turnedAway *instance) bool {
	sent := map[string]attempt{}
	served := 0
	for _, a := range all {
		sent[a.id] = a
		if a.status == 200 {
			served++
		}
	}
	effect := map[string]time.Time{} // by instance
	for _, s := range sets["new"] {
		for _, r := range s.allRuns() {
			if at, ok := effect[r.sender]; r.sender != "" && (!ok || r.at.Before(at)) {
				effect[r.sender] = r.at
			}
		}
	}
	for _, in := range instances {
		recordLine("%s the first request from %s at a server of the set new", seconds(effect[in.name]), in.name)
	}
	unknown, back := 0, map[string]map[string]bool{}
	for _, s := range sets["old"] {
		for _, r := range s.allRuns() {
			a, known := sent[r.id]
			at, seen := effect[r.sender]
			switch {
			case r.sender == "":
				unknown++
			case known && seen && a.sentAt.After(at.Add(revertSlack)):
				if back[r.sender] == nil {
					back[r.sender] = map[string]bool{}
				}
				back[r.sender][r.id] = true
				recordLine("%s %s runs %s, which %s sent; the client sent it to %s at %s CONFIG", seconds(r.at), s.id, r.id, r.sender, a.instance, seconds(a.sentAt))
			}
		}
	}
	for _, a := range all {
		recordLine("%s sent %s to %s: status %d after %d ms", seconds(a.sentAt), a.id, a.instance, a.status, a.took.Milliseconds())
	}
	total := 0
	var names []string
	for _, in := range instances {
		if n := len(back[in.name]); n > 0 {
			if in != turnedAway {
				total += n
			}
			names = append(names, fmt.Sprintf("%s with %d requests", in.name, n))
		}
	}
	note("%d searches: %d served; went back to the older version: %s; %d in touch (%d runs of unknown senders)", len(all), served, strings.Join(names, ", "), total, unknown)
	if served == 0 || len(effect) == 0 {
		cannotRun("no search was served by the later version")
	}
	return total > 0
}
