// Package proc starts the processes of a test or a demonstration and ends
// them by their process id.
package proc

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Process is a process that this program started.
type Process struct {
	Name string
	// LogPath is the file with the standard error.
	LogPath string

	cmd   *exec.Cmd
	lines chan string // standard output, closed at its end
	done  chan struct{}
	err   error // valid once done is closed
}

// maxLines bounds the lines of standard output that are kept unread.
const maxLines = 64

// Start starts a program. Its standard error goes to a file in dir.
func Start(dir, name, path string, args ...string) (*Process, error) {
	return start(dir, name, path, false, args)
}

// StartLogged starts a program whose standard output is a log too: both go to
// the file in dir, and ReadJSON gets nothing.
func StartLogged(dir, name, path string, args ...string) (*Process, error) {
	return start(dir, name, path, true, args)
}

func start(dir, name, path string, logged bool, args []string) (*Process, error) {
	p := &Process{
		Name:    name,
		LogPath: filepath.Join(dir, name+".log"),
		cmd:     exec.Command(path, args...),
		lines:   make(chan string, maxLines),
		done:    make(chan struct{}),
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	p.cmd.Stderr = log
	// The kernel ends the process if this program dies without a clean-up.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out io.Reader = strings.NewReader("")
	if logged {
		p.cmd.Stdout = log
	} else if out, err = p.cmd.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.wait(out)
	return p, nil
}

func (p *Process) wait(out io.Reader) {
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 1<<20) // the ready line lists all targets
	for scanner.Scan() {
		select {
		case p.lines <- scanner.Text():
		default: // nobody reads that many lines
		}
	}
	close(p.lines)
	p.err = p.cmd.Wait()
	close(p.done)
}

// ReadJSON decodes the next line of standard output.
func (p *Process) ReadJSON(timeout time.Duration, to any) error {
	select {
	case line, ok := <-p.lines:
		if !ok {
			return fmt.Errorf("%s ended before it was ready; see %s", p.Name, p.LogPath)
		}
		return json.Unmarshal([]byte(line), to)
	case <-time.After(timeout):
		return fmt.Errorf("%s was not ready within %v; see %s", p.Name, timeout, p.LogPath)
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits for the end of the process.
func (p *Process) Wait() { <-p.done }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.done
}

// Stop sends SIGTERM and waits. The error tells a process that did not end in
// time, which is then killed, or whose exit status was not 0.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %v of SIGTERM; see %s", p.Name, timeout, p.LogPath)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w; see %s", p.Name, p.err, p.LogPath)
	}
	return nil
}
