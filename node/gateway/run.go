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
	// heapShare is the fraction of the setting memory_mb that becomes the soft memory limit
	// of the Go runtime. The rest is for buffers of the system and the program itself.
	heapShare = 0.6
	// settingsCheckInterval is the interval at which the settings file is checked for
	// changes, which may come without a SIGHUP.
	settingsCheckInterval = 2 * time.Second
)

// Run runs an instance with the settings file at path until a signal stops it or a
// server fails. It returns the exit status: 0 after a graceful stop, 1 if the settings are
// invalid, the start fails or a server fails.
// Further SIGTERMs are ignored, as a platform may send several. A SIGINT during the stop
// ends the process at once with 130. SIGHUP reloads the settings.
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

// settingsFile detects changes of the settings file.
type settingsFile struct {
	path string
	last []byte // content at the last read
	// lastError is the error of the last read, empty if it succeeded.
	lastError string
}

// read reads and checks the file. changed is false if the content is that of the last
// read.
func (f *settingsFile) read() (s settings.Gateway, findings []settings.Finding, changed bool) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		changed = err.Error() != f.lastError
		f.lastError = err.Error()
		return s, []settings.Finding{{Message: err.Error(), Remedy: "name a readable file; `galenadyked settings --gateway` prints one to start from"}}, changed
	}
	f.lastError = ""
	if f.last != nil && bytes.Equal(raw, f.last) {
		return s, nil, false
	}
	f.last = raw
	s, findings = settings.ParseGateway(raw)
	return s, findings, true
}

// reloadFrom applies the settings file if it has changed. A file with findings is logged
// and has no effect.
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
