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

// Tick is one record of a trace as Replay passes it to visit.
type Tick struct {
	Number int           // position of the record in the trace, from 1
	At     time.Duration // on the Boot clock, since the first record
	Record Record
	// Outputs are the outputs of the replay, or the recorded ones if the trace
	// cannot be replayed.
	Outputs []model.Output
}

// Difference is a tick whose outputs differ from the recorded ones. Missing and Extra
// hold outputs in the form that EncodeOutput returns.
type Difference struct {
	Tick      int           // see Tick.Number
	At        time.Duration // see Tick.At
	Inputs    int           // number of inputs of the tick
	Missing   []string      // recorded, but not returned by the replay
	Extra     []string      // returned by the replay, but not recorded
	Reordered bool          // same outputs in another order
}

// Summary is the result of a replay.
type Summary struct {
	Header Header
	Ticks  int
	// Compared is true if the outputs of each tick were compared with the recorded
	// ones. It is false for a trace whose first records were dropped, because that
	// trace cannot be replayed, and for a trace without outputs.
	Compared    bool
	Differences []Difference
}

// Replayable reports whether the trace begins with the first tick of the engine. Only
// such a trace can be replayed, because the state of the engine is not recorded.
func (h *Header) Replayable() bool { return h.Dropped == 0 }

// Replay passes the inputs of a trace to the engine that newEngine returns and compares
// the outputs with the recorded ones. It calls visit, which may be nil, with each tick.
// If the trace is not replayable, it is only read and passed to visit. Replay returns an
// error if the trace cannot be read or decoded, or an output cannot be encoded.
// Differences in the outputs are not an error.
func Replay(r io.Reader, newEngine func(model.CoreConfig) Engine, visit func(*Tick)) (Summary, error) {
	reader, header, err := NewReader(r)
	if err != nil {
		return Summary{}, err
	}
	summary := Summary{Header: header, Compared: header.Replayable() && header.Outputs}
	var engine Engine
	if header.Replayable() {
		engine = newEngine(header.Config)
	}
	var firstBoot time.Duration
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return summary, nil
		}
		if err != nil {
			return summary, err
		}
		if summary.Ticks++; summary.Ticks == 1 {
			firstBoot = record.Boot
		}
		tick := Tick{Number: summary.Ticks, At: record.Boot - firstBoot, Record: record, Outputs: record.Outputs}
		if engine != nil {
			tick.Outputs = runTick(engine, &record)
		}
		if summary.Compared {
			if err := summary.compare(&tick); err != nil {
				return summary, err
			}
		}
		if visit != nil {
			visit(&tick)
		}
	}
}

// runTick passes the inputs of a record to the engine and returns its outputs.
func runTick(engine Engine, record *Record) []model.Output {
	for _, in := range record.Inputs {
		engine.Step(in)
	}
	return slices.Clone(engine.Tick(record.Now()))
}

// compare adds a Difference if the outputs of the tick differ from the recorded ones.
func (s *Summary) compare(tick *Tick) error {
	want, err := encodeAll(tick.Record.Outputs)
	if err != nil {
		return fmt.Errorf("tick %d: %w", tick.Number, err)
	}
	got, err := encodeAll(tick.Outputs)
	if err != nil {
		return fmt.Errorf("tick %d: %w", tick.Number, err)
	}
	if slices.Equal(want, got) {
		return nil
	}
	difference := Difference{Tick: tick.Number, At: tick.At, Inputs: len(tick.Record.Inputs)}
	difference.Missing, difference.Extra = subtract(want, got), subtract(got, want)
	difference.Reordered = len(difference.Missing)+len(difference.Extra) == 0
	s.Differences = append(s.Differences, difference)
	return nil
}

func encodeAll(outputs []model.Output) ([]string, error) {
	encoded := make([]string, 0, len(outputs))
	for _, o := range outputs {
		raw, err := EncodeOutput(o)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, string(raw))
	}
	return encoded, nil
}

// subtract returns the multiset difference of a and b, in the order of a.
func subtract(a, b []string) []string {
	remaining := slices.Clone(b)
	var result []string
	for _, x := range a {
		if i := slices.Index(remaining, x); i >= 0 {
			remaining = slices.Delete(remaining, i, i+1)
		} else {
			result = append(result, x)
		}
	}
	return result
}
