package abuse

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// abuseEnv enables the tests of this package.
const abuseEnv = "GALENADYKE_ABUSE"

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binaries, so that no test runs against outdated ones.
func buildAndRun(m *testing.M) int {
	if os.Getenv(abuseEnv) == "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "galenadyke-abuse-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./node/cmd/galenadyked", "./testbed/cmd/testbed-target", "./testbed/cmd/testbed-platform")
	build.Dir, build.Stderr = filepath.Join("..", ".."), os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

func skipUnlessEnabled(t *testing.T) {
	t.Helper()
	if os.Getenv(abuseEnv) == "" {
		t.Skip("needs the machine for itself; make test runs it with " + abuseEnv + "=1")
	}
}

// process is a process of the system under test.
type process struct {
	pid     int
	logPath string
	exited  chan struct{} // closed when the process has ended
	// maxMemory is the bound on its resident memory in bytes, maxDescriptors that on its open
	// descriptors.
	maxMemory, maxDescriptors int
	// peakDescriptors is the largest number of open descriptors that watch has seen.
	peakDescriptors int
}

// startProcess starts galenadyked with the arguments and a limit on its descriptors. The
// bound on its descriptors is that limit less a reserve for targets, instances and the store.
func startProcess(t *testing.T, descriptorLimit, maxMemory int, args ...string) *process {
	t.Helper()
	p := &process{logPath: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{}),
		maxMemory: maxMemory, maxDescriptors: descriptorLimit - descriptorLimit/8}
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	limited := []string{"-c", "ulimit -n " + strconv.Itoa(descriptorLimit) + ` && exec "$0" "$@"`, filepath.Join(binDir, "galenadyked")}
	cmd := exec.Command("/bin/sh", append(limited, args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
	})
	return p
}

func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memory returns a value of /proc/PID/status in bytes: VmRSS, or VmHWM for its peak.
func (p *process) memory(name string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0 // the process has ended, which check reports
	}
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb << 10
		}
	}
	return 0
}

func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	return len(entries)
}

// isWithinBounds reports whether the process runs within its bounds.
func (p *process) isWithinBounds() bool {
	p.peakDescriptors = max(p.peakDescriptors, p.descriptors())
	return p.isRunning() && p.memory("VmHWM") <= p.maxMemory && p.peakDescriptors <= p.maxDescriptors
}

const (
	// The process counts as settled once the number of its descriptors has not changed for
	// settledAfter, at the latest after maxSettle.
	settledAfter = 300 * time.Millisecond
	maxSettle    = 5 * time.Second
)

// settle waits until the process has accepted the connections that wait for it, or is out of
// its bounds.
func (p *process) settle() {
	last, lastChange := -1, time.Now()
	for start := time.Now(); time.Since(start) < maxSettle && time.Since(lastChange) < settledAfter && p.isWithinBounds(); time.Sleep(watchInterval) {
		if n := p.descriptors(); n != last {
			last, lastChange = n, time.Now()
		}
	}
}

// check fails the test if the process has ended or has exceeded its bounds.
func (p *process) check(t *testing.T) {
	t.Helper()
	within := p.isWithinBounds()
	t.Logf("peak memory %d MB, bound %d MB; peak descriptors %d, bound %d", p.memory("VmHWM")>>20, p.maxMemory>>20, p.peakDescriptors, p.maxDescriptors)
	if !p.isRunning() {
		raw, _ := os.ReadFile(p.logPath)
		t.Fatalf("the process has ended: %s", raw[max(0, len(raw)-2000):])
	}
	if !within {
		t.Fatal("the process has exceeded a bound")
	}
}

const (
	// answerPatience bounds the wait for the answer to an ordinary request, so that a test
	// does not hang. It is shorter than the time that a process gives a client for a head.
	answerPatience = 10 * time.Second
	// requestTimeout is the time of one try, each on a new connection.
	requestTimeout = 3 * time.Second
)

// checkAnswered fails the test unless the request is answered with 200. Other answers and
// errors are tried again, as clients do.
func checkAnswered(t *testing.T, newRequest func() *http.Request) {
	t.Helper()
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(answerPatience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Do(newRequest())
		if err != nil {
			last = err.Error()
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = resp.Status
	}
	t.Fatalf("an ordinary request was not answered within %v, last %s", answerPatience, last)
}

// checkServesWithin checks the bounds of the process, that it answers an ordinary request
// while the crowd's connections are open and after they are closed.
func (p *process) checkServesWithin(t *testing.T, c *crowd, ordinary func() *http.Request) {
	t.Helper()
	c.run(p)
	p.settle()
	p.check(t)
	checkAnswered(t, ordinary)
	p.check(t)
	c.close()
	checkAnswered(t, ordinary)
	p.check(t)
}
