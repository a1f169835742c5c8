package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The case "misspelt": another writer leaves an entry in the store whose field names are not
// those of the pages, under the id of a server of another service.

const (
	orderHost = "orders.example"
	// orderInterval is the time between two orders: 22.5 a second, the rate of the single order
	// requests of the site canopy-lagos.
	orderInterval = 10 * time.Second / 225
	orderDeadline = 4 * time.Second
	// calmTime is the time before the entry is written, and troubledTime the time after it.
	calmTime, troubledTime = 3 * time.Second, 8 * time.Second
	// heartbeat is the interval at which servers report.
	heartbeat = 1200 * time.Millisecond

	orderService, orderServers = "order-desk", 10
	crewService, crewServers   = "crew-board", 5
)

// misspeltEntry returns the entry of the other writer. It names the server's address and the
// service order-desk, and spells each field with a capital.
func misspeltEntry(s *server) []byte {
	raw, err := json.Marshal(map[string]any{"Service": orderService, "Address": s.address, "Zone": s.zone, "Version": "v1",
		"Slots": s.slots, "State": "ready", "Warmup_left_ms": 0, "Seq": 1, "Born": time.Now().UnixMilli()})
	if err != nil {
		panic(err) // cannot fail: plain values only
	}
	return raw
}

// startOrders starts the servers, spread over zones, the configuration, and an instance for each
// of instanceZones. work is how long a server takes for a request.
func startOrders(l *lab, zones, instanceZones []string, work time.Duration) error {
	if err := l.listenStore(); err != nil {
		return err
	}
	var services []any
	for _, part := range []struct {
		service string
		servers int
	}{{orderService, orderServers}, {crewService, crewServers}} {
		for i := range part.servers {
			s := &server{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: part.service, zone: zones[i%len(zones)], slots: 2, queue: 8, work: work}
			if err := l.addServer(s); err != nil {
				return err
			}
		}
		services = append(services, map[string]any{"name": part.service, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": 0.0})
	}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "hostname": orderHost, "prefix": prefix, "route_type": "unsafe", "timeout_ms": 4000,
			"target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2}
	}
	raw, err := json.Marshal(map[string]any{"version": 7, "services": services,
		"routes": []any{route("order", "/order/", orderService), route("crew", "/crew/", crewService)},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		return err
	}
	l.store.put("op/config", raw)
	return l.addInstances(instanceZones)
}

// report writes the servers' reports until stop is closed.
func (l *lab) report(stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			for _, s := range l.servers {
				l.store.putEntry(entryKey(s), s.entry("ready", l.born))
			}
		}
	}
}

func runMisspelt(l *lab, trouble bool) error {
	zones := []string{"ikeja", "lekki", "yaba", "apapa"}
	if err := startOrders(l, zones, zones, 90*time.Millisecond); err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { l.report(stop) })
	began := time.Now()
	written := false
	var orders []string
	for time.Since(began) < calmTime+troubledTime {
		if trouble && !written && time.Since(began) >= calmTime {
			written = true
			s := l.servers[orderServers] // the first one of crew-board
			raw := misspeltEntry(s)
			l.rec.add("disruption: another writer writes servers/%s, a server of %s: %s", s.id, s.service, raw)
			l.store.put("servers/"+s.id, raw)
		}
		attempt := fmt.Sprintf("order%d", len(orders))
		in := l.instances[len(orders)%len(l.instances)]
		orders = append(orders, attempt)
		running.Go(func() { l.send(in, "POST", orderHost, "/order/book", attempt, "body of "+attempt, orderDeadline) })
		time.Sleep(orderInterval)
	}
	close(stop)
	running.Wait()
	return checkRoute(l, orders)
}

// checkRoute checks ROUTE: no order is run by a server of another service than order-desk, the
// only one to which a configuration sends orders.
func checkRoute(l *lab, orders []string) error {
	broken := 0
	by := make(map[string]bool)
	for _, attempt := range orders {
		for _, s := range l.servers {
			if s.service != orderService && s.runs(attempt) > 0 {
				broken++
				by[s.id] = true
				l.rec.add("ROUTE: %s was run by server %s of %s", attempt, s.id, s.service)
			}
		}
	}
	var ids []string
	for id := range by {
		ids = append(ids, id)
	}
	l.rec.add("%d orders, %d of them run by another service than %s, at servers [%s]", len(orders), broken, orderService, strings.Join(ids, " "))
	if broken > 0 {
		return fmt.Errorf("%w: ROUTE, %d orders were run by another service", errBroken, broken)
	}
	return nil
}
