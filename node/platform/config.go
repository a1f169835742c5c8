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

// Log receives reports of failed reads, refused sets and refused entries of the
// instance list.
type Log interface {
	ReadFailed(source string, err error)
	SetRefused(source string, findings []string)
	EntryRefused(entry, reason string)
}

// Metrics counts the reads of the configuration service and of the instance list.
type Metrics interface {
	ConfigRead(ok bool)
	ListRead(ok bool)
}

// ConfigReader reads the published configuration whenever the core requests it with
// ReadConfig.
type ConfigReader struct {
	client  client
	path    string
	submit  func(model.Input) bool
	log     Log
	metrics Metrics
	ctx     context.Context
	cancel  context.CancelFunc
	reads   sync.WaitGroup

	mu sync.Mutex // guards the fields below
	// validRaw is the latest value that passed the check, and set is its parsed form.
	// They are kept so that the same value is not checked again at the next read.
	validRaw []byte
	set      *objects.Set
}

// NewConfigReader returns a reader of the key at the service with the base URL.
func NewConfigReader(base, key string, submit func(model.Input) bool, log Log, metrics Metrics) *ConfigReader {
	ctx, cancel := context.WithCancel(context.Background())
	return &ConfigReader{
		client: newClient(strings.TrimSuffix(base, "/")),
		path:   "/v1/kv/" + (&url.URL{Path: strings.TrimPrefix(key, "/")}).EscapedPath(),
		submit: submit, log: log, metrics: metrics, ctx: ctx, cancel: cancel,
	}
}

// Read starts a read and does not block. Exactly one ConfigResult is submitted for
// each call.
func (r *ConfigReader) Read(out model.ReadConfig) {
	r.reads.Go(func() {
		result := r.read(out)
		r.metrics.ConfigRead(result.OK)
		r.submit(result)
	})
}

// Close cancels all reads and waits until they have ended.
func (r *ConfigReader) Close() {
	r.cancel()
	r.reads.Wait()
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

// check parses and checks a value, unless it equals the latest one that passed. It
// returns nil for a value that fails the check.
func (r *ConfigReader) check(raw []byte) *objects.Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set != nil && bytes.Equal(raw, r.validRaw) {
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
	r.validRaw, r.set = raw, set
	return set
}
