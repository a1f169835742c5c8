package cell

import (
	"errors"
	"sync"
	"time"

	"galenadyke.dev/testbed/proc"
)

// Stop stops the instances and then the stand-ins by SIGTERM. The error tells
// which did not stop gracefully.
func (c *Cell) Stop() error {
	// The margin covers the end of the process after its own bound.
	timeout := c.Spec.StopTimeout.D() + 2*time.Second
	errs := make([]error, len(c.Instances))
	var all sync.WaitGroup
	for i, in := range c.Instances {
		if in.Running() {
			all.Go(func() { errs[i] = in.Stop(timeout) })
		}
	}
	all.Wait()
	for _, p := range c.standIns() {
		if p.Running() {
			errs = append(errs, p.Stop(5*time.Second))
		}
	}
	return errors.Join(errs...)
}

func (c *Cell) standIns() []*proc.Process {
	var all []*proc.Process
	for _, tp := range c.Targets {
		all = append(all, tp.Process)
	}
	for _, p := range []*Platform{c.Config, c.List} {
		if p != nil {
			all = append(all, p.Process)
		}
	}
	return all
}

// Kill ends all processes at once.
func (c *Cell) Kill() {
	for _, in := range c.Instances {
		if in.Process != nil {
			in.Kill()
		}
	}
	for _, p := range c.standIns() {
		p.Kill()
	}
}
