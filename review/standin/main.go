// Command review-standin runs one case of the review: stand-ins of the platform's store, of
// servers and of clients, around processes of the system.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var (
	cleanups []func()
	record   *os.File
	started  = time.Now()
)

// atEnd registers f to be called before the process ends.
func atEnd(f func()) { cleanups = append(cleanups, f) }

var endOnce sync.Mutex // held for good by the first call of end

func end(status int) {
	endOnce.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(status)
}

// cannotRun ends the case because it can't run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	end(exitUnable)
}

// note writes a line to the record and to standard output.
func note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	recordLine("%s", line)
}

// recordLine writes a line to the record.
func recordLine(format string, args ...any) { fmt.Fprintf(record, format+"\n", args...) }

// seconds returns a time as seconds since the start of the case.
func seconds(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(started).Seconds()) }

var cases = map[string]func(dir string, trouble bool) (broken bool){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER with|without")
		os.Exit(exitUnable)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	atEnd(func() { os.RemoveAll(dir) })
	signal.Ignore(syscall.SIGPIPE) // a closed standard output must not keep the case from ending its processes
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	time.AfterFunc(110*time.Second, func() { cannotRun("it takes too long") })
	trouble := os.Args[3] != "without"
	recordLine("case %s, trouble %v", os.Args[1], trouble)
	if cases[os.Args[1]](dir, trouble) {
		note("the rule was broken")
		end(exitBroken)
	}
	note("the rule held")
	end(exitHeld)
}
