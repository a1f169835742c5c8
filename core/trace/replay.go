package trace

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"galenadyke.dev/core/model"
)

// Engine is the decision core. *engine.Engine implements it.
type Engine interface {
	Step(model.Input)
	Tick(model.Now) []model.Output
}

// Tick is one replayed record.
type Tick struct {
	Number int           // from 1, without the dropped ones
	At     time.Duration // on Boot, since the first record
	Record Record
	// Outputs are those of the replay. They are the recorded ones if the trace
	// cannot be replayed.
	Outputs []model.Output
}

// Difference is a tick whose outputs differ from the recorded ones. The
// elements are envelopes as EncodeOutput returns them.
type Difference struct {
	Tick      int
	At        time.Duration
	Inputs    int
	Missing   []string // recorded and not given by the replay
	Extra     []string // given by the replay and not recorded
	Reordered bool     // same outputs in another order
}

// Summary is the result of a replay.
type Summary struct {
	Header Header
	Ticks  int
	// Compared says that the outputs of each tick were compared with recorded
	// ones. It is false for a trace whose first ticks were dropped, which has no
	// starting point, and for one without outputs.
	Compared    bool
	Differences []Difference
}

// Replayable reports whether the trace begins with the first tick of the
// engine. An engine has no form in which its state could be recorded, so that
// only such a trace can be played.
func (h *Header) Replayable() bool { return h.Dropped == 0 }

// Replay plays a trace through the engine that start returns and compares the
// outputs. It passes each tick to visit, which may be nil. A trace that has no
// starting point is read and passed to visit without being played.
func Replay(r io.Reader, start func(model.CoreConfig) Engine, visit func(*Tick)) (Summary, error) {
	reader, header, err := NewReader(r)
	if err != nil {
		return Summary{}, err
	}
	sum := Summary{Header: header, Compared: header.Replayable() && header.Outputs}
	var e Engine
	if header.Replayable() {
		e = start(header.Config)
	}
	var first time.Duration
	for {
		rec, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
		if sum.Ticks++; sum.Ticks == 1 {
			first = rec.Boot
		}
		tick := Tick{Number: sum.Ticks, At: rec.Boot - first, Record: rec, Outputs: rec.Outputs}
		if e != nil {
			tick.Outputs = play(e, &rec)
		}
		if sum.Compared {
			if err := sum.compare(&tick); err != nil {
				return sum, err
			}
		}
		if visit != nil {
			visit(&tick)
		}
	}
}

func play(e Engine, rec *Record) []model.Output {
	for _, in := range rec.Inputs {
		e.Step(in)
	}
	return slices.Clone(e.Tick(rec.Now()))
}

func (s *Summary) compare(t *Tick) error {
	want, err := encodeAll(t.Record.Outputs)
	if err != nil {
		return fmt.Errorf("tick %d: %w", t.Number, err)
	}
	got, err := encodeAll(t.Outputs)
	if err != nil {
		return fmt.Errorf("tick %d: %w", t.Number, err)
	}
	if slices.Equal(want, got) {
		return nil
	}
	d := Difference{Tick: t.Number, At: t.At, Inputs: len(t.Record.Inputs)}
	d.Missing, d.Extra = without(want, got), without(got, want)
	d.Reordered = len(d.Missing)+len(d.Extra) == 0
	s.Differences = append(s.Differences, d)
	return nil
}

func encodeAll(outputs []model.Output) ([]string, error) {
	list := make([]string, 0, len(outputs))
	for _, o := range outputs {
		raw, err := EncodeOutput(o)
		if err != nil {
			return nil, err
		}
		list = append(list, string(raw))
	}
	return list, nil
}

// without returns the elements of a that b does not have as often.
func without(a, b []string) []string {
	rest := slices.Clone(b)
	var list []string
	for _, x := range a {
		if i := slices.Index(rest, x); i >= 0 {
			rest = slices.Delete(rest, i, i+1)
		} else {
			list = append(list, x)
		}
	}
	return list
}
