package cell

import (
	"errors"
	"sync"
	"time"

	"galenadyke.dev/testbed/proc"
)

// Stop stops first the instances and then the stand-ins with SIGTERM. The error
// joins one error for each process that did not stop gracefully.
func (c *Cell) Stop() error {
	// An instance stops within StopTimeout; the margin covers the exit of the
	// process.
	timeout := c.Spec.StopTimeout.D() + 2*time.Second
	errs := make([]error, len(c.Instances))
	var stopping sync.WaitGroup
	for i, in := range c.Instances {
		if in.Running() {
			stopping.Go(func() { errs[i] = in.Stop(timeout) })
		}
	}
	stopping.Wait()
	for _, p := range c.standIns() {
		if p.Running() {
			errs = append(errs, p.Stop(5*time.Second))
		}
	}
	return errors.Join(errs...)
}

// standIns returns the processes of the stand-ins that have been started.
func (c *Cell) standIns() []*proc.Process {
	var processes []*proc.Process
	for _, tp := range c.Targets {
		processes = append(processes, tp.Process)
	}
	for _, p := range []*Platform{c.ConfigService, c.InstanceList} {
		if p != nil {
			processes = append(processes, p.Process)
		}
	}
	return processes
}

// Kill kills all processes and waits until they have ended.
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
