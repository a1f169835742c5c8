package cell

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"galenadyke.dev/core/objects"
	"galenadyke.dev/testbed/platform"
)

// Publish applies edit to the set and publishes the result with the next
// generation.
func (c *Cell) Publish(ctx context.Context, edit func(*objects.Set)) error {
	edit(c.Set)
	c.generation++
	raw, err := objects.Bundle(c.Set, c.generation)
	if err != nil {
		return err
	}
	set, findings := objects.Parse(raw)
	if len(findings) > 0 {
		return fmt.Errorf("the bundle to publish is invalid: %v", findings)
	}
	c.Set.Generation, c.Set.Digest = set.Generation, set.Digest
	return c.PublishRaw(ctx, raw)
}

// PublishRaw publishes arbitrary bytes under the key of the configuration; they
// need not be a valid set.
func (c *Cell) PublishRaw(ctx context.Context, raw []byte) error {
	return callRaw(ctx, http.MethodPut, "http://"+c.ConfigService.started.Control+"/v1/publish/"+configKey, bytes.NewReader(raw), nil)
}

// PublishStepsInForce publishes the set with the first n steps of its order in
// force: 1 takes the first data centre out, 2 returns it.
func (c *Cell) PublishStepsInForce(ctx context.Context, n int) error {
	return c.Publish(ctx, func(s *objects.Set) { s.Orders[0].InForce = n })
}

// PublishInstances publishes all instances on the instance list and marks the
// given ones as leaving.
func (c *Cell) PublishInstances(ctx context.Context, leaving ...*Instance) error {
	list := make([]platform.Instance, 0, len(c.Instances))
	for _, in := range c.Instances {
		entry := platform.Instance{ID: in.ID, Address: in.peerAddress, Place: in.Place}
		for _, l := range leaving {
			entry.Leaving = entry.Leaving || l == in
		}
		list = append(list, entry)
	}
	return call(ctx, http.MethodPut, "http://"+c.InstanceList.started.Control+"/v1/instances/"+serviceName, list, nil)
}
