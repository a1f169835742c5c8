package cell

import (
	"context"

	"galenadyke.dev/core/objects"
	"galenadyke.dev/ctl/client"
	"galenadyke.dev/testbed/platform"
	"galenadyke.dev/testbed/proc"
)

// Cell is a running deployment. Its methods must be called from one goroutine.
type Cell struct {
	Spec Spec
	// Set is the set that Publish published last. PublishRaw does not change it.
	Set *objects.Set
	// ConfigService and InstanceList are separate processes of the platform
	// stand-in, for the configuration and for the instance list.
	ConfigService, InstanceList *Platform
	// Targets holds the target processes by place, one for each place with
	// targets.
	Targets   map[string]*TargetProcess
	Instances []*Instance

	generation uint64
}

// Platform is a process of the platform stand-in.
type Platform struct {
	*proc.Process
	started platform.Started
}

// TargetProcess is a process that serves the stand-ins for all targets of a
// place.
type TargetProcess struct {
	*proc.Process
	controlURL string
	names      []string
}

// Instance is a daemon with its settings. Process is nil until its first start.
type Instance struct {
	*proc.Process
	ID, Place string
	// Entry is the base URL of the HTTP API for callers.
	Entry string

	caller           *client.Client
	peerAddress      string // address of the gRPC listener
	settingsPath     string
	platformEndpoint int // index of the instance's endpoint at both platform stand-ins
}

// Start starts all processes, publishes the first set and waits until every
// instance is ready with it. On an error it kills the processes that it has
// started.
func Start(ctx context.Context, spec Spec) (*Cell, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	spec.networkOctet = nextNetworkOctet()
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
	if c.ConfigService, err = c.startPlatform("config-service", endpoints); err != nil {
		return err
	}
	if c.InstanceList, err = c.startPlatform("instance-list", endpoints); err != nil {
		return err
	}
	byPlace := c.Spec.targetsByPlace()
	addresses := make(map[string]string)
	for _, place := range c.Spec.Places {
		if len(byPlace[place]) == 0 {
			continue
		}
		if err := c.startTargets(place, byPlace[place], addresses); err != nil {
			return err
		}
	}
	c.Set = c.Spec.buildSet(byPlace, addresses)
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

// Running reports whether the daemon has been started and has not ended.
func (in *Instance) Running() bool { return in.Process != nil && in.Process.Running() }
