package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"galenadyke.dev/core/model"
)

// MaxLineBytes is the length of the longest line that a Reader accepts, in bytes. It
// leaves room for a tick with several configuration sets of the largest size.
const MaxLineBytes = 64 << 20

// FormatVersion is the version of the format that this package writes and reads.
const FormatVersion = 1

// Header is the first line of a trace.
type Header struct {
	Format int              `json:"format"`
	Config model.CoreConfig `json:"config"`
	// Dropped is the number of earlier records that are not in the trace. The trace
	// can be replayed only if Dropped is zero.
	Dropped uint64 `json:"dropped"`
	// Outputs is true if the records hold the outputs.
	Outputs bool `json:"outputs,omitempty"`
}

// Record is one tick: its time, the inputs before it and, if the trace holds them,
// its outputs.
type Record struct {
	Mono    time.Duration
	Boot    time.Duration
	Inputs  []model.Input
	Outputs []model.Output
}

// Now returns the time of the tick on both clocks.
func (r *Record) Now() model.Now { return model.Now{Mono: r.Mono, Boot: r.Boot} }

// recordJSON is the JSON form of a Record.
type recordJSON struct {
	Mono    time.Duration `json:"mono"`
	Boot    time.Duration `json:"boot"`
	Inputs  []envelope    `json:"inputs"`
	Outputs []envelope    `json:"outputs,omitempty"`
}

// MarshalJSON encodes the record in the form that UnmarshalJSON decodes.
func (r Record) MarshalJSON() ([]byte, error) {
	payload := recordJSON{Mono: r.Mono, Boot: r.Boot, Inputs: make([]envelope, 0, len(r.Inputs))}
	for _, in := range r.Inputs {
		encoded, err := encodeInput(in)
		if err != nil {
			return nil, err
		}
		payload.Inputs = append(payload.Inputs, encoded)
	}
	for _, out := range r.Outputs {
		encoded, err := encodeOutput(out)
		if err != nil {
			return nil, err
		}
		payload.Outputs = append(payload.Outputs, encoded)
	}
	return json.Marshal(payload)
}

// UnmarshalJSON decodes the form that MarshalJSON returns. It returns an error for
// unknown fields and types.
func (r *Record) UnmarshalJSON(raw []byte) error {
	var payload recordJSON
	if err := decodeStrict(raw, &payload); err != nil {
		return err
	}
	*r = Record{Mono: payload.Mono, Boot: payload.Boot}
	for _, e := range payload.Inputs {
		in, err := decodeInput(e)
		if err != nil {
			return err
		}
		r.Inputs = append(r.Inputs, in)
	}
	for _, e := range payload.Outputs {
		out, err := decodeOutput(e)
		if err != nil {
			return err
		}
		r.Outputs = append(r.Outputs, out)
	}
	return nil
}

// Writer writes a trace.
type Writer struct{ w io.Writer }

// NewWriter returns a writer of a trace and writes the header. It sets the format
// version in the header.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	h.Format = FormatVersion
	tw := &Writer{w: w}
	return tw, tw.writeLine(h)
}

// Write writes one record.
func (w *Writer) Write(r Record) error { return w.writeLine(r) }

func (w *Writer) writeLine(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.w.Write(append(raw, '\n'))
	return err
}

// Reader reads a trace.
type Reader struct {
	scanner    *bufio.Scanner
	lineNumber int
}

// NewReader returns a reader of a trace, and the header of the trace. It returns an error
// if the header is missing or malformed, or if the trace has another format version.
func NewReader(r io.Reader) (*Reader, Header, error) {
	tr := &Reader{scanner: bufio.NewScanner(r)}
	tr.scanner.Buffer(nil, MaxLineBytes)
	var h Header
	if err := tr.readLine(&h); err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("the trace is empty; get one with GET /v1/trace")
		}
		return nil, Header{}, err
	}
	if h.Format != FormatVersion {
		return nil, Header{}, fmt.Errorf("unsupported trace format %d, want %d; replay the trace with the release that recorded it", h.Format, FormatVersion)
	}
	return tr, h, nil
}

// Read returns the next record, or io.EOF after the last one. All other errors name the
// number of the line.
func (r *Reader) Read() (Record, error) {
	var rec Record
	err := r.readLine(&rec)
	return rec, err
}

func (r *Reader) readLine(v any) error {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber+1, err)
		}
		return io.EOF
	}
	r.lineNumber++
	if err := decodeStrict(r.scanner.Bytes(), v); err != nil {
		return fmt.Errorf("line %d: %w", r.lineNumber, err)
	}
	return nil
}

// decodeStrict decodes one JSON value. It returns an error for unknown fields and for
// data after the value.
func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
