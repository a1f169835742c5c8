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
	// maxQueuedLines is the number of lines that may wait for a slow reader of the
	// log. Further lines are dropped and counted.
	maxQueuedLines = 1024
	// linesPerSecond and lineBurst are the rate limit of the lines of one name, so
	// that lines about a fault that affects all 2,300 targets don't displace others.
	linesPerSecond = rate.Limit(10)
	lineBurst      = 50
)

// Log writes JSON lines about state changes, requests and faults. Its methods may
// be called from any goroutine; only Close waits for the writer.
type Log struct {
	logger  *log.Logger
	handler *asyncHandler

	mu      sync.Mutex            // guards limits
	limits  map[string]*nameLimit // by name of the line
	metrics DropCounter
	// instance is written as the field instance of every line, unless it is empty.
	instance string
}

// SetInstance adds the field instance to every line. It must be called before the
// first line is written.
func (l *Log) SetInstance(instance string) { l.instance = instance }

// DropCounter counts lines that were not written.
type DropCounter interface{ LogDropped() }

// nameLimit is the rate limit of the lines of one name.
type nameLimit struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64 // lines that limiter refused since the last line that it allowed
}

// NewLog returns a log that writes lines of at least the given level to w and
// counts dropped lines in metrics. It fails if the level is unknown. Close must be
// called to write the last lines.
func NewLog(w io.Writer, level string, metrics DropCounter) (*Log, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	handler := newAsyncHandler(json.New(w), metrics)
	return &Log{
		logger:  &log.Logger{Handler: handler, Level: parsed},
		handler: handler,
		limits:  make(map[string]*nameLimit),
		metrics: metrics,
	}, nil
}

// Close writes the queued lines and stops the log.
func (l *Log) Close() { l.handler.close() }

// Event writes a line about a state change of the core, at level warn if the event is a
// warning, else at level info.
func (l *Log) Event(e model.Event) {
	level := log.InfoLevel
	if e.Warning {
		level = log.WarnLevel
	}
	l.writeLine(level, e.Name, log.Fields{"subject": e.Subject, "before": e.Before, "after": e.After})
}

// Info writes a line about the process itself.
func (l *Log) Info(name string, fields log.Fields) { l.writeLine(log.InfoLevel, name, fields) }

// Error writes a line about a serious fault, such as one that ends the process.
func (l *Log) Error(name string, fields log.Fields) { l.writeLine(log.ErrorLevel, name, fields) }

// LinkBroken implements peer.Log.
func (l *Log) LinkBroken(peer model.InstanceID, during string, err error) {
	l.writeLine(log.WarnLevel, "LinkBroken", log.Fields{"subject": peer, "during": during, "error": err.Error()})
}

// FrameRefused implements peer.Log and gateway.Log.
func (l *Log) FrameRefused(peer model.InstanceID, err error) {
	l.writeLine(log.WarnLevel, "FrameRefused", log.Fields{"subject": peer, "error": err.Error()})
}

// SetRefused implements peer.Log and platform.Log.
func (l *Log) SetRefused(source string, findings []string) {
	l.writeLine(log.WarnLevel, "ConfigRefused", log.Fields{"subject": source, "findings": findings})
}

// ReadFailed implements platform.Log and gateway.Log.
func (l *Log) ReadFailed(source string, err error) {
	l.writeLine(log.WarnLevel, "ReadFailed", log.Fields{"subject": source, "error": err.Error()})
}

// EntryRefused implements platform.Log and gateway.Log.
func (l *Log) EntryRefused(entry, reason string) {
	l.writeLine(log.WarnLevel, "EntryRefused", log.Fields{"subject": entry, "reason": reason})
}

// CallerConnectionClosed writes a line about a connection of a caller that was closed during a
// stop, as a warning if it had unserved bytes.
func (l *Log) CallerConnectionClosed(unserved bool, fields log.Fields) {
	level := log.InfoLevel
	if unserved {
		level = log.WarnLevel
	}
	fields["unserved"] = unserved
	l.writeLine(level, "CallerConnectionClosed", fields)
}

// writeLine queues a line unless its level or the rate limit of its name forbids
// it. It may add entries to the map fields.
func (l *Log) writeLine(level log.Level, name string, fields log.Fields) {
	if level < l.logger.Level {
		return
	}
	if l.instance != "" {
		fields["instance"] = l.instance
	}
	limit := l.limitFor(name)
	if !limit.limiter.Allow() {
		limit.suppressed.Add(1)
		l.metrics.LogDropped()
		return
	}
	if n := limit.suppressed.Swap(0); n > 0 {
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

func (l *Log) limitFor(name string) *nameLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[name]
	if limit == nil {
		limit = &nameLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.limits[name] = limit
	}
	return limit
}

// asyncHandler passes entries to a goroutine that writes them, because a write to
// stderr blocks while its reader does not read.
type asyncHandler struct {
	next    log.Handler
	metrics DropCounter
	entries chan *log.Entry
	stop    chan struct{}
	done    chan struct{}
}

func newAsyncHandler(next log.Handler, metrics DropCounter) *asyncHandler {
	h := &asyncHandler{next: next, metrics: metrics, entries: make(chan *log.Entry, maxQueuedLines),
		stop: make(chan struct{}), done: make(chan struct{})}
	go h.run()
	return h
}

// HandleLog implements log.Handler. It drops the entry if the queue is full.
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
			_ = h.next.HandleLog(e) // a failed write can be reported nowhere else
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

// close waits until the queued entries are written and the goroutine has ended.
func (h *asyncHandler) close() {
	close(h.stop)
	<-h.done
}
