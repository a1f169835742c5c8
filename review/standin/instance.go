package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// instance is a process of the system, started as deploy/system.toml starts it.
type instance struct {
	name, callers, ready, store string
	cmd                         *exec.Cmd
	ended                       chan struct{}
}

// freePorts returns n ports that are free at all IPs, for TCP and UDP. The ports are the same on
// all machines, as DEPLOY.md says.
func freePorts(ips []string, n int) []int {
	var ports []int
	for port := 20000 + os.Getpid()%8000; port < 32000 && len(ports) < n; port++ {
		if isFree(ips, port) {
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		cannotRun("no free ports")
	}
	return ports
}

func isFree(ips []string, port int) bool {
	for _, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		u.Close()
	}
	return true
}

// startInstances starts instances in the zones, one in each. They find each other by the
// first three as seeds.
func startInstances(dir string, st *store, zones []string) []*instance {
	var list []*instance
	var ips, seeds []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.%d.1", 40+i))
	}
	ports := freePorts(ips, 5)
	at := func(ip string, k int) string { return fmt.Sprintf("%s:%d", ip, ports[k]) }
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, at(ip, 2)) // the control addresses
	}
	for i, zone := range zones {
		ip := ips[i]
		in := &instance{name: fmt.Sprintf("front-%s-%d", zone, i), callers: at(ip, 0), ready: at(ip, 1), store: st.newAddress(), ended: make(chan struct{})}
		// The fields of deploy/settings.json with the figures of the small sites.
		settings := map[string]any{"instance": in.name, "place": zone, "caller_listen": in.callers, "ready_listen": in.ready,
			"ready_path": "/v1/ready", "control_listen": at(ip, 2), "metrics_listen": at(ip, 3),
			"peer_listen": at(ip, 4), "seeds": seeds, "store": in.store, "first_start": true, "retry_ratio": 0.2, "retry_window": "10s",
			"retry_slack": 54, "cold_overshoot": 1.5, "cold_slack": 5, "stop_timeout": "6s", "capacity": 0.4, "memory_mb": 284}
		raw, err := json.Marshal(settings)
		if err != nil {
			cannotRun("settings: %v", err)
		}
		path := filepath.Join(dir, in.name+".json")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		logFile, err := os.Create(filepath.Join(dir, in.name+".log"))
		if err != nil {
			cannotRun("log: %v", err)
		}
		in.cmd = exec.Command("target/galenadyked", "gateway", "--settings", path)
		in.cmd.Stdout, in.cmd.Stderr = logFile, logFile
		if err := in.cmd.Start(); err != nil {
			cannotRun("start of the system: %v", err)
		}
		atEnd(func() { _ = in.cmd.Process.Kill(); <-in.ended })
		go func() { _ = in.cmd.Wait(); close(in.ended) }()
		list = append(list, in)
	}
	for _, in := range list {
		in.awaitReady()
	}
	return list
}

func (in *instance) awaitReady() {
	for start := time.Now(); time.Since(start) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + in.ready + "/v1/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("%s did not become ready", in.name)
}
