package target

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Parse decodes and validates the JSON settings of a process. Fields that the
// settings of a target leave out take the values of DefaultTarget; a missing
// control address selects a free port on 127.0.0.1. Unknown fields are errors.
func Parse(data []byte) (ProcessConfig, error) {
	var raw struct {
		Control string            `json:"control"`
		Targets []json.RawMessage `json:"targets"`
	}
	raw.Control = "127.0.0.1:0"
	if err := decode(data, &raw); err != nil {
		return ProcessConfig{}, err
	}
	cfg := ProcessConfig{Control: raw.Control}
	for i, rawTarget := range raw.Targets {
		t := DefaultTarget()
		if err := decode(rawTarget, &t); err != nil {
			return ProcessConfig{}, fmt.Errorf("target %d: %w", i, err)
		}
		cfg.Targets = append(cfg.Targets, t)
	}
	return cfg, cfg.Validate()
}

func decode(data []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(to)
}
