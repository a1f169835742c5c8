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
// mu guards all fields below it.
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

// put stores a value. An equal value leaves the index as it is, as in Consul.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.items[key]; ok && bytes.Equal(old.value, value) {
		return old.index
	}
	s.index++
	s.items[key] = item{value: value, index: s.index}
	s.wake()
	return s.index
}

// wake makes all blocking queries look again.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(key string) (item, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		it.index = s.index
	}
	return it, ok, s.changed
}

// watch returns the item as look sees it once its index is above the given
// one, or as it is when the wait is over.
func watch(ctx context.Context, index uint64, wait time.Duration, look func() (item, bool, <-chan struct{})) (item, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		it, ok, changed := look()
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
