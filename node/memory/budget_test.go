package memory

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a budget that is exceeded, that ends a transfer although a larger one is in
// progress, or that loses bytes.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(1000)
		holds := make(map[*Hold]bool) // value: whether the transfer is in progress
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var h *Hold
			for other := range holds {
				h = other
				if rapid.Bool().Draw(t, "this one") {
					break
				}
			}
			switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
			case op == 0 || h == nil:
				var opened *Hold
				opened = b.Hold(func() {
					for other, inProgress := range holds {
						if inProgress && !other.aborted && other.bytes > opened.bytes {
							t.Fatalf("a transfer of %d bytes was ended although one of %d is in progress", opened.bytes, other.bytes)
						}
					}
				})
				holds[opened] = true
			case op == 1 && holds[h]:
				if h.Grow(int64(rapid.IntRange(1, 400).Draw(t, "bytes"))) != nil {
					holds[h] = false
				}
			case op == 2:
				_ = h.Finish()
				holds[h] = false
			case op == 3:
				h.Release()
				delete(holds, h)
			case op == 4 && !holds[h] && !h.aborted && h.bytes > 0:
				h.Resume(h.abort)
				holds[h] = true
			}
			sum := int64(0)
			for h := range holds {
				sum += h.bytes
			}
			ending := int64(0)
			for h := range holds {
				if h.aborted {
					ending += h.bytes
				}
			}
			if b.used-b.ending > b.limit || b.used > 2*b.limit || b.used != sum || b.ending != ending {
				t.Fatalf("%d bytes are used, %d of them by ended transfers, want the sums of the holds, %d and %d, at most %d beside the latter, and twice that together",
					b.used, b.ending, sum, ending, b.limit)
			}
		}
	})
}

// Guards against bytes that are taken for a call and that another transfer ends, as nobody would
// release them then.
func TestTakenBytesAreNotEnded(t *testing.T) {
	b := NewBudget(100)
	taken, err := b.Take(60)
	if err != nil {
		t.Fatal(err)
	}
	smaller := b.Hold(func() {})
	if smaller.Grow(50) == nil || taken.Aborted() {
		t.Errorf("got the taken bytes ended %v, want the smaller transfer refused", taken.Aborted())
	}
	if _, err := b.Take(50); err == nil {
		t.Error("got more bytes than the limit")
	}
	smaller.Release()
	taken.Release()
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are taken after the release, want 0", used)
	}
}
