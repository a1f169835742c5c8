package platform

import (
	"bytes"
	"context"
	"net/url"
	"strings"
	"sync"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/objects"
)

// Log takes reports of faults.
type Log interface {
	ReadFailed(source string, err error)
	SetRefused(source string, findings []string)
	EntryRefused(entry, reason string)
}

// Metrics counts what the package does.
type Metrics interface {
	ConfigRead(ok bool)
	ListRead(ok bool)
}

// ConfigReader carries out ReadConfig.
type ConfigReader struct {
	client  client
	path    string
	submit  func(model.Input) bool
	log     Log
	metrics Metrics
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex // guards what follows
	// last is the latest value that passed the check and set its parsed form,
	// so that a value that is read again is not checked again.
	last []byte
	set  *objects.Set
}

// NewConfigReader returns a reader of the key below the base URL.
func NewConfigReader(base, key string, submit func(model.Input) bool, log Log, metrics Metrics) *ConfigReader {
	ctx, stop := context.WithCancel(context.Background())
	return &ConfigReader{
		client: newClient(strings.TrimSuffix(base, "/")),
		path:   "/v1/kv/" + (&url.URL{Path: strings.TrimPrefix(key, "/")}).EscapedPath(),
		submit: submit, log: log, metrics: metrics, ctx: ctx, stop: stop,
	}
}

// Read starts a read. Exactly one ConfigResult follows. It never blocks.
func (r *ConfigReader) Read(out model.ReadConfig) {
	r.running.Go(func() {
		result := r.read(out)
		r.metrics.ConfigRead(result.OK)
		r.submit(result)
	})
}

// Close cancels reads and waits for their end.
func (r *ConfigReader) Close() {
	r.stop()
	r.running.Wait()
	r.client.http.CloseIdleConnections()
}

func (r *ConfigReader) read(out model.ReadConfig) model.ConfigResult {
	a, err := r.client.get(r.ctx, r.path, url.Values{"raw": {""}}, out.Index, out.Wait, maxValueBytes)
	if err != nil {
		if r.ctx.Err() == nil {
			r.log.ReadFailed("configuration service", err)
		}
		return model.ConfigResult{}
	}
	result := model.ConfigResult{OK: true, Index: a.index}
	switch {
	case !a.changed:
	case !a.found:
		r.log.SetRefused("configuration service", []string{"the key does not exist; publish a bundle"})
	default:
		if set := r.check(a.body); set != nil {
			result.Raw, result.Set = a.body, set
		}
	}
	return result
}

// check runs the whole check, unless the value is the one of the last read.
func (r *ConfigReader) check(raw []byte) *objects.Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set != nil && bytes.Equal(raw, r.last) {
		return r.set
	}
	set, findings := objects.Parse(raw)
	if set == nil {
		lines := make([]string, len(findings))
		for i, f := range findings {
			lines[i] = f.String()
		}
		r.log.SetRefused("configuration service", lines)
		return nil
	}
	r.last, r.set = raw, set
	return set
}
