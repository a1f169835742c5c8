package cell

import (
	"context"
	"net/http"

	"galenadyke.dev/testbed/platform"
	"galenadyke.dev/testbed/target"
)

// SetFaults sets the faults of a platform stand-in, at all its endpoints if
// none is named.
func (p *Platform) SetFaults(ctx context.Context, f platform.Faults, endpoints ...int) error {
	request := platform.FaultsRequest{Endpoints: endpoints, Faults: f}
	return call(ctx, http.MethodPut, "http://"+p.started.Control+"/v1/faults", request, nil)
}

// Mark starts a new counter for the requests that arrive from now on.
func (c *Cell) Mark(ctx context.Context, label string) error {
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		return call(ctx, http.MethodPost, tp.control+"/v1/mark", target.MarkRequest{Label: label}, nil)
	})
}

// ResetCounts starts all counts at zero.
func (c *Cell) ResetCounts(ctx context.Context) error {
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		return call(ctx, http.MethodPost, tp.control+"/v1/reset", nil, nil)
	})
}

// Change changes the named targets, or all if none is named.
func (c *Cell) Change(ctx context.Context, change target.Change) error {
	wanted := change.Targets
	return c.eachTargetProcess(func(tp *TargetProcess) error {
		change.Targets = nil
		for _, name := range tp.names {
			for _, w := range wanted {
				if name == w {
					change.Targets = append(change.Targets, name)
				}
			}
		}
		if len(wanted) > 0 && len(change.Targets) == 0 {
			return nil
		}
		return call(ctx, http.MethodPost, tp.control+"/v1/change", change, nil)
	})
}

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
