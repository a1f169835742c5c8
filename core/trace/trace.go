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

// MaxLineBytes is the longest line that a Reader accepts, in bytes. A tick with
// several sets of the largest size fits.
const MaxLineBytes = 64 << 20

// FormatVersion is the version of the format that this package writes.
const FormatVersion = 1

// Header is the first line of a trace.
type Header struct {
	Format int              `json:"format"`
	Config model.CoreConfig `json:"config"`
	// Dropped is the number of records from before the first record that were
	// not kept. A replay gives the recorded outputs only if it is zero.
	Dropped uint64 `json:"dropped"`
	// Outputs says that the records hold the outputs.
	Outputs bool `json:"outputs,omitempty"`
}

// Record is one tick: its time, the inputs before it and, if the writer kept
// them, its outputs.
type Record struct {
	Mono    time.Duration
	Boot    time.Duration
	Inputs  []model.Input
	Outputs []model.Output
}

// Now returns the time of the tick.
func (r *Record) Now() model.Now { return model.Now{Mono: r.Mono, Boot: r.Boot} }

// recordForm is the JSON form of a Record.
type recordForm struct {
	Mono    time.Duration `json:"mono"`
	Boot    time.Duration `json:"boot"`
	Inputs  []envelope    `json:"inputs"`
	Outputs []envelope    `json:"outputs,omitempty"`
}

// MarshalJSON writes the form that UnmarshalJSON reads.
func (r Record) MarshalJSON() ([]byte, error) {
	form := recordForm{Mono: r.Mono, Boot: r.Boot, Inputs: make([]envelope, 0, len(r.Inputs))}
	for _, in := range r.Inputs {
		e, err := encodeInput(in)
		if err != nil {
			return nil, err
		}
		form.Inputs = append(form.Inputs, e)
	}
	for _, out := range r.Outputs {
		e, err := encodeOutput(out)
		if err != nil {
			return nil, err
		}
		form.Outputs = append(form.Outputs, e)
	}
	return json.Marshal(form)
}

// UnmarshalJSON reads what MarshalJSON writes. Unknown fields and types are
// refused.
func (r *Record) UnmarshalJSON(raw []byte) error {
	var form recordForm
	if err := decodeStrict(raw, &form); err != nil {
		return err
	}
	*r = Record{Mono: form.Mono, Boot: form.Boot}
	for _, e := range form.Inputs {
		in, err := decodeInput(e)
		if err != nil {
			return err
		}
		r.Inputs = append(r.Inputs, in)
	}
	for _, e := range form.Outputs {
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

// NewWriter writes the header.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	h.Format = FormatVersion
	tw := &Writer{w: w}
	return tw, tw.line(h)
}

// Write writes one record.
func (w *Writer) Write(r Record) error { return w.line(r) }

func (w *Writer) line(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.w.Write(append(raw, '\n'))
	return err
}

// Reader reads a trace.
type Reader struct {
	scanner *bufio.Scanner
	number  int
}

// NewReader reads the header.
func NewReader(r io.Reader) (*Reader, Header, error) {
	tr := &Reader{scanner: bufio.NewScanner(r)}
	tr.scanner.Buffer(nil, MaxLineBytes)
	var h Header
	if err := tr.next(&h); err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("the trace is empty; get one with GET /v1/trace")
		}
		return nil, Header{}, err
	}
	if h.Format != FormatVersion {
		return nil, Header{}, fmt.Errorf("trace format %d is not %d; replay it with the release that recorded it", h.Format, FormatVersion)
	}
	return tr, h, nil
}

// Read returns the next record, or io.EOF after the last.
func (r *Reader) Read() (Record, error) {
	var rec Record
	err := r.next(&rec)
	return rec, err
}

func (r *Reader) next(v any) error {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return fmt.Errorf("line %d: %w", r.number+1, err)
		}
		return io.EOF
	}
	r.number++
	if err := decodeStrict(r.scanner.Bytes(), v); err != nil {
		return fmt.Errorf("line %d: %w", r.number, err)
	}
	return nil
}

func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("data follows the JSON value")
	}
	return nil
}
