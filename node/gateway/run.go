package gateway

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"galenadyke.dev/node/settings"
)

// heapShare is the part of the memory limit that the collector keeps to; the
// rest is for stacks, buffers of the system and the program itself.
const heapShare = 0.6

// Run runs an instance until a signal has stopped it, and returns the exit
// status: 0 after a graceful stop.
func Run(s settings.Gateway, p Platform, w io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * (1 << 20)))
	}
	d, err := New(s, p, w)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	d.Start()
	stopping := false
	for {
		select {
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				// Settings other than those of the start are in the configuration.
				d.log.Info("ReloadRequested", map[string]any{"subject": s.Instance})
			case stopping:
				return 128 + int(sig.(syscall.Signal))
			default:
				stopping = true
				d.Shutdown()
			}
		case <-d.Stopped():
			d.Close()
			return 0
		case err := <-d.Failed():
			d.log.Error("Failed", map[string]any{"subject": s.Instance, "error": err.Error()})
			d.log.Close()
			return 1
		}
	}
}
