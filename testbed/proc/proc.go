// Package proc starts the processes of a test or a demonstration and ends them
// by their process ids.
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
	// LogPath is the file to which the process writes its standard error, and
	// with StartLogged also its standard output.
	LogPath string

	cmd     *exec.Cmd
	lines   chan string   // unread lines of standard output, closed at its end
	exited  chan struct{} // closed when the process has ended
	exitErr error         // valid once exited is closed
}

// maxUnreadLines bounds the lines of standard output that are kept until they
// are read. Further lines are dropped.
const maxUnreadLines = 64

// Start starts the program at path. Its standard error is appended to the file
// NAME.log in dir, and ReadJSON reads its standard output.
func Start(dir, name, path string, args ...string) (*Process, error) {
	return start(dir, name, path, false, args)
}

// StartLogged starts the program at path. Its standard output and standard error
// are both appended to the file NAME.log in dir, so that ReadJSON always fails.
func StartLogged(dir, name, path string, args ...string) (*Process, error) {
	return start(dir, name, path, true, args)
}

func start(dir, name, path string, logStdout bool, args []string) (*Process, error) {
	p := &Process{
		Name:    name,
		LogPath: filepath.Join(dir, name+".log"),
		cmd:     exec.Command(path, args...),
		lines:   make(chan string, maxUnreadLines),
		exited:  make(chan struct{}),
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own file descriptor
	p.cmd.Stderr = log
	// The kernel kills the process if this program ends without stopping it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var stdout io.Reader = strings.NewReader("")
	if logStdout {
		p.cmd.Stdout = log
	} else if stdout, err = p.cmd.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.wait(stdout)
	return p, nil
}

// wait collects the lines of standard output until its end and then waits for
// the process.
func (p *Process) wait(stdout io.Reader) {
	scanner := bufio.NewScanner(stdout)
	scanner.Buffer(nil, 1<<20) // a target stand-in prints the addresses of all targets in one line
	for scanner.Scan() {
		select {
		case p.lines <- scanner.Text():
		default: // drop the line: maxUnreadLines are unread
		}
	}
	close(p.lines)
	p.exitErr = p.cmd.Wait()
	close(p.exited)
}

// ReadJSON decodes the next line of standard output into v. It fails if the
// output ends, no line comes within the timeout or the line is not valid JSON.
func (p *Process) ReadJSON(timeout time.Duration, v any) error {
	select {
	case line, ok := <-p.lines:
		if !ok {
			return fmt.Errorf("%s ended before it was ready; see %s", p.Name, p.LogPath)
		}
		return json.Unmarshal([]byte(line), v)
	case <-time.After(timeout):
		return fmt.Errorf("%s was not ready within %v; see %s", p.Name, timeout, p.LogPath)
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits until the process has ended.
func (p *Process) Wait() { <-p.exited }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.exited
}

// Stop sends SIGTERM and waits until the process has ended. It returns an error
// if the exit status is not 0, or if the process is still running after the
// timeout and had to be killed.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %v of SIGTERM; see %s", p.Name, timeout, p.LogPath)
	}
	if p.exitErr != nil {
		return fmt.Errorf("%s: %w; see %s", p.Name, p.exitErr, p.LogPath)
	}
	return nil
}
