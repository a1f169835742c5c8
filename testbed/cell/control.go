package cell

import (
	"context"
	"net/http"

	"galenadyke.dev/testbed/platform"
	"galenadyke.dev/testbed/target"
)

// SetFaults replaces the faults of the endpoints with the given indexes, or of
// all endpoints if no index is given.
func (p *Platform) SetFaults(ctx context.Context, f platform.Faults, endpoints ...int) error {
	request := platform.FaultsRequest{Endpoints: endpoints, Faults: f}
	return call(ctx, http.MethodPut, "http://"+p.started.Control+"/v1/faults", request, nil)
}

// Mark starts a new request counter with the given label at every target.
func (c *Cell) Mark(ctx context.Context, label string) error {
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		return call(ctx, http.MethodPost, tp.controlURL+"/v1/mark", target.MarkRequest{Label: label}, nil)
	})
}

// ResetCounts clears the counters of all targets, except the counter of accepted
// connections.
func (c *Cell) ResetCounts(ctx context.Context) error {
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		return call(ctx, http.MethodPost, tp.controlURL+"/v1/reset", nil, nil)
	})
}

// Change applies a change to the targets that it names, or to all targets if it
// names none.
func (c *Cell) Change(ctx context.Context, change target.Change) error {
	names := change.Targets
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		change.Targets = nil
		for _, name := range tp.names {
			for _, n := range names {
				if name == n {
					change.Targets = append(change.Targets, name)
				}
			}
		}
		if len(names) > 0 && len(change.Targets) == 0 {
			return nil
		}
		return call(ctx, http.MethodPost, tp.controlURL+"/v1/change", change, nil)
	})
}

// eachTargetProcess calls f for each target process in the order of the places
// until f returns an error.
func (c *Cell) eachTargetProcess(f func(*TargetProcess) error) error {
	for _, place := range c.Spec.Places {
		if tp := c.Targets[place]; tp != nil {
			if err := f(tp); err != nil {
				return err
			}
		}
	}
	return nil
}
