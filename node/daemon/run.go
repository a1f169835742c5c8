package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"galenadyke.dev/node/settings"
)

// stopGrace is how long beyond stop_timeout the process waits for the core to
// complete the graceful stop.
const stopGrace = 2 * time.Second

// heapShare is the fraction of the setting memory_mb that becomes the soft memory limit of the
// Go runtime. The rest is for buffers of the system and the program itself.
const heapShare = 0.6

// Run runs an instance until SIGTERM or SIGINT, or until a server fails. It returns the
// exit status: 0 after a complete graceful stop, and 1 if the start or a server fails or
// the stop is not complete in time. A second signal ends the process at once, with status
// 128 plus the number of the signal.
func Run(s settings.Settings) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * (1 << 20)))
	}
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

// stop runs the graceful stop and returns the exit status: 1 if the core has not
// completed the stop within the limit.
func (d *Daemon) stop(limit time.Duration) int {
	timer := time.AfterFunc(limit+callersTimeout+2*closeTimeout, func() { os.Exit(1) }) // in case Close hangs
	defer timer.Stop()
	d.Shutdown()
	status := 0
	select {
	case <-d.Stopped():
	case <-time.After(limit):
		d.log.Error("StopTimedOut", map[string]any{"subject": d.coreCfg.Self, "limit": limit.String()})
		status = 1
	}
	d.Close()
	return status
}
