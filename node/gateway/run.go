package gateway

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"galenadyke.dev/node/settings"
)

const (
	// heapShare is the part of the memory limit that the collector keeps to; the
	// rest is for stacks, buffers of the system and the program itself.
	heapShare = 0.6
	// settingsCheckInterval is the time between two looks at the settings file, which
	// may change without a signal.
	settingsCheckInterval = 2 * time.Second
)

// Run runs an instance until a signal has stopped it, and returns the exit
// status: 0 after a graceful stop. Further SIGTERMs change nothing, as a platform
// may send several; a second SIGINT ends the process at once.
func Run(path string, p Platform, w io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	file := &settingsFile{path: path}
	s, findings, _ := file.read()
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(findings) > 0 {
		return 1
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * (1 << 20)))
	}
	d, err := New(s, p, w)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	d.Start()
	settingsTicker := time.NewTicker(settingsCheckInterval)
	defer settingsTicker.Stop()
	stopping := false
	for {
		select {
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				d.reloadFrom(file)
			case stopping && sig == syscall.SIGINT:
				return 128 + int(syscall.SIGINT)
			case !stopping:
				stopping = true
				d.Shutdown()
			}
		case <-settingsTicker.C:
			d.reloadFrom(file)
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

// settingsFile remembers what was read last.
type settingsFile struct {
	path string
	last []byte
}

// read reads and checks the file. changed is false if it holds what it held.
func (f *settingsFile) read() (s settings.Gateway, findings []settings.Finding, changed bool) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return s, []settings.Finding{{Message: err.Error(), Remedy: "name a readable file; `galenadyked settings --gateway` prints one to start from"}}, true
	}
	if f.last != nil && bytes.Equal(raw, f.last) {
		return s, nil, false
	}
	f.last = raw
	s, findings = settings.ParseGateway(raw)
	return s, findings, true
}

// reloadFrom takes over changed settings; faulty ones are logged and the old
// ones stay in force.
func (d *Daemon) reloadFrom(file *settingsFile) {
	s, findings, changed := file.read()
	switch {
	case !changed:
	case len(findings) > 0:
		d.log.Error("SettingsRefused", map[string]any{"subject": d.settings.Instance, "finding": findings[0].String(), "findings": len(findings)})
	default:
		d.Reload(s)
	}
}
