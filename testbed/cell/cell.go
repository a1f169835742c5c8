package cell

import (
	"context"

	"galenadyke.dev/core/objects"
	"galenadyke.dev/ctl/client"
	"galenadyke.dev/testbed/platform"
	"galenadyke.dev/testbed/proc"
)

// Cell is a running deployment. Its methods are called from one goroutine.
type Cell struct {
	Spec Spec
	// Set is the set that was published last.
	Set *objects.Set
	// Config and List are the platform stand-ins.
	Config, List *Platform
	// Targets holds one process for each place.
	Targets map[string]*TargetProcess
	// Instances holds the daemons.
	Instances []*Instance

	generation uint64
}

// Platform is a process of the platform stand-in.
type Platform struct {
	*proc.Process
	started platform.Started
}

// TargetProcess is a process of the target stand-in.
type TargetProcess struct {
	*proc.Process
	control string
	names   []string
}

// Instance is a daemon.
type Instance struct {
	*proc.Process
	ID, Place string
	// Entry is the base URL for callers.
	Entry string

	caller   *client.Client
	peer     string // address of the gRPC listener
	settings string // path
	platform int    // endpoint of the platform
}

// Start starts all processes, publishes the first set and waits until every
// instance is ready. On an error it ends what it started.
func Start(ctx context.Context, spec Spec) (*Cell, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	spec.network = nextNetwork()
	c := &Cell{Spec: spec, Targets: make(map[string]*TargetProcess)}
	if err := c.start(ctx); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cell) start(ctx context.Context) error {
	var err error
	endpoints := 1
	if c.Spec.OwnEndpoints {
		endpoints = max(1, c.Spec.Instances)
	}
	if c.Config, err = c.startPlatform("config-service", endpoints); err != nil {
		return err
	}
	if c.List, err = c.startPlatform("instance-list", endpoints); err != nil {
		return err
	}
	byPlace := c.Spec.layout()
	addresses := make(map[string]string)
	for _, place := range c.Spec.Places {
		if len(byPlace[place]) == 0 {
			continue
		}
		if err := c.startTargets(place, byPlace[place], addresses); err != nil {
			return err
		}
	}
	c.Set = c.Spec.set(byPlace, addresses)
	if err := c.Publish(ctx, func(*objects.Set) {}); err != nil {
		return err
	}
	for i := range c.Spec.Instances {
		in, err := c.prepareInstance(i)
		if err != nil {
			return err
		}
		c.Instances = append(c.Instances, in)
	}
	if err := c.PublishInstances(ctx); err != nil {
		return err
	}
	for _, in := range c.Instances {
		if err := c.StartInstance(in); err != nil {
			return err
		}
	}
	return c.AwaitInForce(ctx, startTimeout)
}

// Running reports whether the daemon was started and has not ended.
func (in *Instance) Running() bool { return in.Process != nil && in.Process.Running() }
