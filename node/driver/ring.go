package driver

import (
	"io"
	"slices"
	"sync"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/trace"
)

// maxRingBytes bounds the memory that a Ring retains, as retainedBytes estimates
// it. It is a quarter of the 32 MB that a daemon may use for control.
const maxRingBytes = 8 << 20

// outputBytes is the approximate size of an output without its bodies.
const outputBytes = 256

// Ring keeps the latest inputs and the outputs of their ticks. It implements
// Recorder. Record is called by the loop; Dump may be called from any goroutine.
type Ring struct {
	config model.CoreConfig
	limit  int // maximum of count; 0 records nothing
	// maxBytes is maxRingBytes, or less in tests.
	maxBytes int

	mu      sync.Mutex // guards the fields below
	records []trace.Record
	first   int    // index of the first record that is kept
	count   int    // sum of inputCount of the records
	bytes   int    // sum of retainedBytes of the records
	dropped uint64 // number of records dropped
}

// NewRing returns a ring that keeps up to limit inputs; 0 records nothing.
func NewRing(config model.CoreConfig, limit int) *Ring {
	return &Ring{config: config, limit: limit, maxBytes: maxRingBytes}
}

// Record implements Recorder.
func (r *Ring) Record(now model.Now, inputs []model.Input, outputs []model.Output) {
	if r.limit == 0 {
		return
	}
	rec := trace.Record{Mono: now.Mono, Boot: now.Boot, Inputs: slices.Clone(inputs), Outputs: slices.Clone(outputs)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	r.count += inputCount(&rec)
	r.bytes += retainedBytes(&rec)
	for r.first < len(r.records)-1 && (r.count > r.limit || r.bytes > r.maxBytes) {
		r.dropFirst()
	}
	// Once more than half of the slice is dropped records, move the kept records to its
	// front. The amortized cost is O(1) per record.
	if r.first > len(r.records)/2 {
		n := copy(r.records, r.records[r.first:])
		clear(r.records[n:])
		r.records, r.first = r.records[:n], 0
	}
}

// dropFirst drops the oldest record. The caller holds mu.
func (r *Ring) dropFirst() {
	old := &r.records[r.first]
	r.count -= inputCount(old)
	r.bytes -= retainedBytes(old)
	*old = trace.Record{}
	r.first++
	r.dropped++
}

// Dump writes the records as a trace, in JSON lines.
func (r *Ring) Dump(w io.Writer) error {
	r.mu.Lock()
	records := slices.Clone(r.records[r.first:])
	dropped := r.dropped
	r.mu.Unlock()
	tw, err := trace.NewWriter(w, trace.Header{Config: r.config, Dropped: dropped, Outputs: true})
	if err != nil {
		return err
	}
	for _, rec := range records {
		if err := tw.Write(rec); err != nil {
			return err
		}
	}
	return nil
}

// inputCount returns how many inputs a record counts for: at least one, so that
// ticks without inputs are bounded too.
func inputCount(rec *trace.Record) int { return max(1, len(rec.Inputs)) }

// retainedBytes estimates the memory that a record retains.
func retainedBytes(rec *trace.Record) int {
	n := outputBytes * len(rec.Outputs)
	for _, out := range rec.Outputs {
		switch out := out.(type) {
		case model.SendTarget:
			n += len(out.Body)
		case model.SendPeer:
			n += messageBytes(out.Message)
		case model.BookAnswer:
			n += len(out.Body)
		case model.SearchAnswer:
			for i := range out.Parts {
				n += len(out.Parts[i].Body)
			}
		}
	}
	for _, in := range rec.Inputs {
		switch in := in.(type) {
		case model.SearchCall:
			n += len(in.Body)
		case model.BookCall:
			n += len(in.Body)
		case model.TargetReply:
			n += len(in.Answer.Body)
		case model.ConfigResult:
			n += 2 * len(in.Raw) // Set takes about as much memory as Raw
		case model.PeerConfig:
			n += 2 * len(in.Raw)
		case model.PeerInput:
			n += messageBytes(in.Message)
		}
	}
	return n
}

// messageBytes returns the size of the bodies in a message.
func messageBytes(m model.PeerMessage) int {
	n := 0
	switch m := m.(type) {
	case model.RelayRequest:
		n = len(m.Body)
	case model.RelayReply:
		for i := range m.Items {
			n += len(m.Items[i].Answer.Body)
		}
	case model.BookForward:
		n = len(m.Body)
	case model.BookOutcome:
		n = len(m.Body)
	case model.BookingHandover:
		for i := range m.Outcomes {
			n += len(m.Outcomes[i].Body)
		}
	}
	return n
}
