package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	w       *bufio.Writer
	started time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), started: time.Now()}, nil
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush() // nothing is left to report a failure to
	_ = r.file.Close()
}
