package telemetry

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"golang.org/x/time/rate"

	"galenadyke.dev/core/model"
)

const (
	// logQueue is the number of lines that wait for a slow reader of stderr.
	// Further lines are dropped and counted.
	logQueue = 1024
	// eventRate and eventBurst bound the lines of one name, so that a fault that
	// touches all 2,300 targets leaves the other lines readable.
	eventRate  = rate.Limit(10)
	eventBurst = 50
)

// Log writes one JSON line for each state change. It may be used from any
// goroutine and never blocks.
type Log struct {
	logger  *log.Logger
	handler *asyncHandler

	mu      sync.Mutex // guards byName
	byName  map[string]*quota
	dropped DropCounter
	// instance is named in each line if it is set.
	instance string
}

// Named lets each line name the instance. It is called before the first line.
func (l *Log) Named(instance string) { l.instance = instance }

// DropCounter counts lines that were not written.
type DropCounter interface{ LogDropped() }

// quota limits the lines of one name.
type quota struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// NewLog returns a log to w. Close must be called to write the last lines.
func NewLog(w io.Writer, level string, metrics DropCounter) (*Log, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	handler := newAsyncHandler(json.New(w), metrics)
	return &Log{
		logger:  &log.Logger{Handler: handler, Level: parsed},
		handler: handler,
		byName:  make(map[string]*quota),
		dropped: metrics,
	}, nil
}

// Close writes what waits.
func (l *Log) Close() { l.handler.close() }

// Event writes a state change of the core.
func (l *Log) Event(e model.Event) {
	level := log.InfoLevel
	if e.Warning {
		level = log.WarnLevel
	}
	l.line(level, e.Name, log.Fields{"subject": e.Subject, "before": e.Before, "after": e.After})
}

// Info writes a line about the process itself.
func (l *Log) Info(name string, fields log.Fields) { l.line(log.InfoLevel, name, fields) }

// Error writes a line about a fault that the process cannot go on with.
func (l *Log) Error(name string, fields log.Fields) { l.line(log.ErrorLevel, name, fields) }

// LinkBroken implements peer.Log.
func (l *Log) LinkBroken(peer model.InstanceID, during string, err error) {
	l.line(log.WarnLevel, "LinkBroken", log.Fields{"subject": peer, "during": during, "error": err.Error()})
}

// FrameRefused implements peer.Log.
func (l *Log) FrameRefused(peer model.InstanceID, err error) {
	l.line(log.WarnLevel, "FrameRefused", log.Fields{"subject": peer, "error": err.Error()})
}

// SetRefused implements peer.Log and platform.Log.
func (l *Log) SetRefused(source string, findings []string) {
	l.line(log.WarnLevel, "ConfigRefused", log.Fields{"subject": source, "findings": findings})
}

// ReadFailed implements platform.Log.
func (l *Log) ReadFailed(source string, err error) {
	l.line(log.WarnLevel, "ReadFailed", log.Fields{"subject": source, "error": err.Error()})
}

// EntryRefused implements platform.Log.
func (l *Log) EntryRefused(entry, reason string) {
	l.line(log.WarnLevel, "EntryRefused", log.Fields{"subject": entry, "reason": reason})
}

func (l *Log) line(level log.Level, name string, fields log.Fields) {
	if level < l.logger.Level {
		return
	}
	if l.instance != "" {
		fields["instance"] = l.instance
	}
	q := l.quota(name)
	if !q.limiter.Allow() {
		q.suppressed.Add(1)
		l.dropped.LogDropped()
		return
	}
	if n := q.suppressed.Swap(0); n > 0 {
		fields["suppressed"] = n
	}
	entry := l.logger.WithFields(fields)
	switch level {
	case log.ErrorLevel:
		entry.Error(name)
	case log.WarnLevel:
		entry.Warn(name)
	default:
		entry.Info(name)
	}
}

func (l *Log) quota(name string) *quota {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.byName[name]
	if q == nil {
		q = &quota{limiter: rate.NewLimiter(eventRate, eventBurst)}
		l.byName[name] = q
	}
	return q
}

// asyncHandler hands entries to another goroutine, because a write to stderr
// waits while its reader does not read.
type asyncHandler struct {
	next    log.Handler
	metrics DropCounter
	entries chan *log.Entry
	stop    chan struct{}
	done    chan struct{}
}

func newAsyncHandler(next log.Handler, metrics DropCounter) *asyncHandler {
	h := &asyncHandler{next: next, metrics: metrics, entries: make(chan *log.Entry, logQueue),
		stop: make(chan struct{}), done: make(chan struct{})}
	go h.run()
	return h
}

// HandleLog implements log.Handler.
func (h *asyncHandler) HandleLog(e *log.Entry) error {
	select {
	case h.entries <- e:
	default:
		h.metrics.LogDropped()
	}
	return nil
}

func (h *asyncHandler) run() {
	defer close(h.done)
	for {
		select {
		case e := <-h.entries:
			_ = h.next.HandleLog(e) // there is no other place to report it
		case <-h.stop:
			for {
				select {
				case e := <-h.entries:
					_ = h.next.HandleLog(e)
				default:
					return
				}
			}
		}
	}
}

func (h *asyncHandler) close() {
	close(h.stop)
	<-h.done
}
