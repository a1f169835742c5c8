package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The ports of all instances, each of which has a loopback address of its own.
type ports struct{ front, ready, control, peer, metrics int }

// instance is a process of the project.
type instance struct {
	name, ip, zone string
	ports          ports
	cmd            *exec.Cmd
	exited         chan struct{}
}

// freePorts returns ports that are free on all the addresses, for TCP and UDP.
func freePorts(ips []string) (ports, error) {
	var found []int
	for port := 21000; port < 32000 && len(found) < 5; port += 7 {
		free := true
		for _, ip := range ips {
			address := fmt.Sprintf("%s:%d", ip, port)
			l, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			l.Close()
			p, err := net.ListenPacket("udp", address)
			if err != nil {
				free = false
				break
			}
			p.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	if len(found) < 5 {
		return ports{}, fmt.Errorf("no free ports on %v", ips)
	}
	// The template has the metrics at port 9464 of the instance's own address.
	return ports{front: found[0], ready: found[1], control: found[2], peer: found[3], metrics: 9464}, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// renderSettings fills in the template of the deploy file as the platform does.
func renderSettings(template string, fields map[string]any) (string, error) {
	var failed error
	out := placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value, ok := fields[m[1]]
		if !ok {
			failed = fmt.Errorf("the template has an unknown field %s", m[1])
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		raw, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		return string(raw)
	})
	return out, failed
}

// startInstance starts an instance with the command of the deploy file.
func (l *lab) startInstance(in *instance, seeds []string, storeAddress string, firstStart bool) error {
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", in.ip, port) }
	text, err := renderSettings(string(template), map[string]any{
		"node_name": in.name, "zone": in.zone, "ip": in.ip, "listen.front": at(in.ports.front), "listen.ready": at(in.ports.ready),
		"listen.control": at(in.ports.control), "internal_port_range.0": in.ports.peer, "seeds": seeds, "platform.address": storeAddress,
		"bootstrap": firstStart, "bounds.retry_budget_ratio": 0.2, "bounds.retry_window_s": 10, "bounds.retry_slack": 54,
		"bounds.warmup_overshoot": 1.5, "bounds.warmup_slack": 5, "bounds.grace_s": 6, "limits.cpu_share": 0.4, "limits.memory_mb": 284,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(l.dir, in.name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	in.cmd = exec.Command("target/galenadyked", "gateway", "--settings", path)
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	// The kernel ends the process if this one ends without doing so.
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(exited)
	}(in.cmd)
	l.rec.add("instance %s in %s started, pid %d, %s", in.name, in.zone, in.cmd.Process.Pid, at(in.ports.front))
	return nil
}

// isReady reports whether the readiness check of the balancer answers 200.
func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", in.ip, in.ports.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the process: SIGTERM, and SIGKILL after the grace time.
func (in *instance) stop() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	_ = in.cmd.Process.Signal(syscall.SIGTERM) // fails only if the process has ended
	select {
	case <-in.exited:
	case <-time.After(6 * time.Second):
		_ = in.cmd.Process.Kill()
		<-in.exited
	}
}

// kill ends the process at once.
func (in *instance) kill() {
	if in.cmd != nil && in.cmd.Process != nil {
		_ = in.cmd.Process.Kill()
		<-in.exited
	}
}

// seedAddresses returns the control addresses of at most three instances.
func seedAddresses(instances []*instance) []string {
	var seeds []string
	for _, in := range instances[:min(3, len(instances))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", in.ip, in.ports.control))
	}
	return seeds
}

// errorText returns an error's text on one line.
func errorText(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }
