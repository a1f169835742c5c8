package driver

import (
	"io"
	"slices"
	"sync"

	"galenadyke.dev/core/model"
	"galenadyke.dev/core/trace"
)

// ringBytes bounds the bodies that a Ring keeps alive. It is a quarter of the
// 32 MB that a daemon may use for control.
const ringBytes = 8 << 20

// outputBytes is about the size of an output without its bodies.
const outputBytes = 256

// Ring keeps the latest inputs and the outputs of their ticks. Record is called
// by the loop; Dump may be called from any goroutine.
type Ring struct {
	config model.CoreConfig
	limit  int // in inputs; a tick without inputs counts as one
	// maxBytes is ringBytes, or less in tests.
	maxBytes int

	mu      sync.Mutex // guards what follows
	records []trace.Record
	first   int // records before it are dropped already
	count   int
	bytes   int
	dropped uint64
}

// NewRing returns a ring for limit inputs. A limit of 0 records nothing.
func NewRing(config model.CoreConfig, limit int) *Ring {
	return &Ring{config: config, limit: limit, maxBytes: ringBytes}
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
	r.count += weight(&rec)
	r.bytes += bodyBytes(&rec)
	for r.first < len(r.records)-1 && (r.count > r.limit || r.bytes > r.maxBytes) {
		r.dropFirst()
	}
	// Move the rest to the front at times, at a cost of O(1) for each record.
	if r.first > len(r.records)/2 {
		n := copy(r.records, r.records[r.first:])
		clear(r.records[n:])
		r.records, r.first = r.records[:n], 0
	}
}

func (r *Ring) dropFirst() {
	old := &r.records[r.first]
	r.count -= weight(old)
	r.bytes -= bodyBytes(old)
	*old = trace.Record{}
	r.first++
	r.dropped++
}

// Dump writes the trace as JSON lines.
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

func weight(rec *trace.Record) int { return max(1, len(rec.Inputs)) }

// bodyBytes estimates the memory that a record keeps alive.
func bodyBytes(rec *trace.Record) int {
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
			n += 2 * len(in.Raw) // the checked set is about as large
		case model.PeerConfig:
			n += 2 * len(in.Raw)
		case model.PeerInput:
			n += messageBytes(in.Message)
		}
	}
	return n
}

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
