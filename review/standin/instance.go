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
	name, callers, ready string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// freePort returns a port of the IP that is free for TCP and UDP.
func freePort(ip string) int {
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			cannotRun("free port: %v", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		l.Close()
		if err == nil {
			u.Close()
			return port
		}
	}
	cannotRun("no free port at %s", ip)
	return 0
}

// startInstances starts instances in the zones, one in each. They find each other by the
// first three as seeds.
func startInstances(dir, storeAddress string, zones []string) []*instance {
	var list []*instance
	var seeds []string
	peers := make([]string, len(zones))
	for i := range zones {
		ip := instanceIP(i)
		peers[i] = fmt.Sprintf("%s:%d", ip, freePort(ip))
	}
	seeds = peers[:min(3, len(peers))]
	for i, zone := range zones {
		ip := instanceIP(i)
		in := &instance{name: fmt.Sprintf("front-%s-%d", zone, i), callers: fmt.Sprintf("%s:%d", ip, freePort(ip)),
			ready: fmt.Sprintf("%s:%d", ip, freePort(ip)), ended: make(chan struct{})}
		// The fields of deploy/settings.json with the figures of the small sites.
		settings := map[string]any{"instance": in.name, "place": zone, "caller_listen": in.callers, "ready_listen": in.ready,
			"ready_path": "/v1/ready", "control_listen": fmt.Sprintf("%s:%d", ip, freePort(ip)), "metrics_listen": fmt.Sprintf("%s:%d", ip, freePort(ip)),
			"peer_listen": peers[i], "seeds": seeds, "store": storeAddress, "first_start": true, "retry_ratio": 0.2, "retry_window": "10s",
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

func instanceIP(i int) string { return fmt.Sprintf("127.0.%d.1", 40+i) }

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
