package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"galenadyke.dev/node/settings"
)

// stopGrace is the time beyond stop_timeout after which the process ends
// without the core's consent.
const stopGrace = 2 * time.Second

// Run runs an instance until a signal has stopped it, and returns the exit
// status: 0 after a graceful stop.
func Run(s settings.Settings) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := New(s, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	d.Start()
	select {
	case <-signals:
	case err := <-d.Failed():
		d.log.Error("Failed", map[string]any{"subject": s.Instance, "error": err.Error()})
		d.log.Close()
		return 1
	}
	go func() {
		second := <-signals
		os.Exit(128 + int(second.(syscall.Signal)))
	}()
	return d.stop(time.Duration(s.StopTimeout) + stopGrace)
}

// stop runs the graceful stop within the limit.
func (d *Daemon) stop(limit time.Duration) int {
	timer := time.AfterFunc(limit+2*closeTimeout, func() { os.Exit(1) }) // Close itself hangs
	defer timer.Stop()
	d.Shutdown()
	status := 0
	select {
	case <-d.Stopped():
	case <-time.After(limit):
		d.log.Error("StopTimedOut", map[string]any{"subject": d.core.Self, "limit": limit.String()})
		status = 1
	}
	d.Close()
	return status
}
