package query

const (
	chunkBits = 8
	chunkSize = 1 << chunkBits

	// An id consists of the slot number in its low slotBits bits, and above that
	// the generation, which counts the uses of the slot, in genBits bits.
	slotBits = 20
	genBits  = 28
	maxGen   = 1<<genBits - 1 // a slot that has reached it is not used again
)

// none is the index that stands for no entity.
const none int32 = -1

// table stores entities in chunks with a free list. Pointers to entities stay
// valid when the table grows. An id identifies one use of a slot and never
// repeats: a slot whose generations are exhausted is not used again.
type table[T any] struct {
	chunks []*[chunkSize]T
	gens   []uint32 // current generation of each slot
	live   []bool   // whether each slot is in use
	free   []int32  // slots that can be used again
	count  int      // live entities
}

// alloc returns a free slot and its entity. The caller sets the entity.
func (t *table[T]) alloc() (int32, *T) {
	var i int32
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		i = int32(len(t.gens))
		if int(i)>>chunkBits == len(t.chunks) {
			t.chunks = append(t.chunks, new([chunkSize]T))
		}
		t.gens = append(t.gens, 1)
		t.live = append(t.live, false)
	}
	t.live[i] = true
	t.count++
	return i, t.at(i)
}

func (t *table[T]) at(i int32) *T { return &t.chunks[i>>chunkBits][i&(chunkSize-1)] }

// release frees the slot. The caller clears the entity.
func (t *table[T]) release(i int32) {
	t.live[i] = false
	t.count--
	t.gens[i]++
	if t.gens[i] < maxGen {
		t.free = append(t.free, i)
	}
}

func (t *table[T]) id(i int32) uint64 { return uint64(t.gens[i])<<slotBits | uint64(i) }

// find returns the slot of an id, none if the slot was released since.
func (t *table[T]) find(id uint64) int32 {
	i := id & (1<<slotBits - 1)
	if i >= uint64(len(t.gens)) || !t.live[i] || uint64(t.gens[i]) != id>>slotBits {
		return none
	}
	return int32(i)
}
