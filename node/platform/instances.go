package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"galenadyke.dev/core/model"
)

const (
	// listWait is the wait of a query for changes of the instance list. Without
	// changes, 510 instances make 8.5 reads/s.
	listWait = time.Minute
	// Failed reads are retried after minBackoff, doubled up to maxBackoff. Half of
	// this time is random jitter, so that the instances do not read in step when
	// the service returns.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// minReadInterval bounds the rate of reads while the list changes constantly.
	minReadInterval = 100 * time.Millisecond
)

// serviceEntry is the part of an entry of /v1/health/service that is used.
type serviceEntry struct {
	Service struct {
		ID      string
		Address string
		Port    uint16
		Meta    struct {
			Place   string `json:"place"`
			Leaving string `json:"leaving"`
		}
	}
	Checks []struct{ Status string }
}

// InstanceWatcher watches the platform's list of instances.
type InstanceWatcher struct {
	client  client
	path    string
	submit  func(model.Input) bool
	log     Log
	metrics Metrics
}

// NewInstanceWatcher returns a watcher of the instances that are registered for the
// service at the base URL.
func NewInstanceWatcher(base, service string, submit func(model.Input) bool, log Log, metrics Metrics) *InstanceWatcher {
	return &InstanceWatcher{
		client: newClient(strings.TrimSuffix(base, "/")),
		path:   "/v1/health/service/" + url.PathEscape(service),
		submit: submit, log: log, metrics: metrics,
	}
}

// Run watches the list until the context ends. It submits an InstanceList for each
// change and for each failed read.
func (w *InstanceWatcher) Run(ctx context.Context) {
	defer w.client.http.CloseIdleConnections()
	var index uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		a, err := w.client.get(ctx, w.path, url.Values{}, index, listWait, maxListBytes)
		var list []model.InstanceInfo
		if err == nil && a.changed {
			list, err = w.decode(a)
		}
		if ctx.Err() != nil {
			return
		}
		w.metrics.ListRead(err == nil)
		wait := minReadInterval
		if err != nil {
			w.log.ReadFailed("instance list", err)
			w.submit(model.InstanceList{})
			wait = backoff/2 + rand.N(backoff/2)
			backoff = min(2*backoff, maxBackoff)
			index = 0
		} else {
			if a.changed {
				w.submit(model.InstanceList{OK: true, Instances: list})
			}
			backoff, index = minBackoff, a.index
		}
		sleep(ctx, wait)
	}
}

// decode returns the instances in an answer, sorted by ID and without duplicates.
// Entries that cannot be used are logged and left out.
func (w *InstanceWatcher) decode(a answer) ([]model.InstanceInfo, error) {
	if !a.found {
		return nil, errors.New("no such service")
	}
	var entries []serviceEntry
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return nil, err
	}
	list := make([]model.InstanceInfo, 0, len(entries))
	for i := range entries {
		info, reason := entries[i].info()
		if reason != "" {
			w.log.EntryRefused(entries[i].Service.ID, reason)
			continue
		}
		list = append(list, info)
	}
	slices.SortFunc(list, func(a, b model.InstanceInfo) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(list, func(a, b model.InstanceInfo) bool { return a.ID == b.ID }), nil
}

// info returns the instance of the entry, or the reason to leave the entry out. The
// list is of live and leaving instances, so an entry with a critical check is left
// out.
func (e *serviceEntry) info() (model.InstanceInfo, string) {
	s := &e.Service
	addr, err := netip.ParseAddr(s.Address)
	switch {
	case s.ID == "":
		return model.InstanceInfo{}, "it has no ID"
	case err != nil || s.Port == 0:
		return model.InstanceInfo{}, "its address is not an IP address with a port; correct the registration"
	}
	for _, check := range e.Checks {
		if check.Status == "critical" {
			return model.InstanceInfo{}, "its check is critical"
		}
	}
	return model.InstanceInfo{
		ID:      model.InstanceID(s.ID),
		Address: netip.AddrPortFrom(addr, s.Port).String(),
		Place:   model.PlaceID(s.Meta.Place),
		Leaving: s.Meta.Leaving == "true",
	}, ""
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
