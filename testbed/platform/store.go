package platform

import (
	"bytes"
	"context"
	"sync"
	"time"
)

// item is one value with the index of its last change.
type item struct {
	value []byte
	index uint64
}

// store holds the values of the configuration service and the instance lists.
// mu guards the fields below it.
type store struct {
	mu      sync.Mutex
	index   uint64
	items   map[string]item
	changed chan struct{} // closed and replaced at each change
}

func newStore() *store {
	// Consul's index starts above zero, because zero means "do not wait".
	return &store{index: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put stores a value and returns its index. Storing an equal value leaves the
// index unchanged, as in Consul.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.items[key]; ok && bytes.Equal(old.value, value) {
		return old.index
	}
	s.index++
	s.items[key] = item{value: value, index: s.index}
	s.wakeReaders()
	return s.index
}

// wakeReaders makes all blocking queries read again. The caller holds mu.
func (s *store) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the item of a key, whether it exists, and a channel that is closed
// at the next change of any key. The item of a missing key has the index of the
// store.
func (s *store) get(key string) (item, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		it.index = s.index
	}
	return it, ok, s.changed
}

// waitForChange calls lookup until the index of the item exceeds the given
// index, the wait is over or ctx ends. It returns the result of the last lookup:
// the item and whether it exists. With index 0 it returns after one lookup.
func waitForChange(ctx context.Context, index uint64, wait time.Duration, lookup func() (item, bool, <-chan struct{})) (item, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		it, ok, changed := lookup()
		if index == 0 || it.index > index {
			return it, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return it, ok
		case <-ctx.Done():
			return it, ok
		}
	}
}
