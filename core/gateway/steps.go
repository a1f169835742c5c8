package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"galenadyke.dev/core/model"
)

// Step is a decision or event in the course of a request. The steps are logged when
// the request ends.
type Step struct {
	After  time.Duration // time since the arrival of the request
	Action string        // what was decided or what happened
	// Subject is the target, service or instance concerned.
	Subject string
	// Detail states the inputs of the decision and their age.
	Detail string
}

// maxSteps bounds the steps that are kept per request. Further steps are only
// counted.
const maxSteps = 24

// recordStep adds a step to a request.
func (g *Gateway) recordStep(r *request, action, subject, format string, args ...any) {
	if len(r.steps) >= maxSteps {
		r.stepsDropped++
		return
	}
	r.steps = append(r.steps, Step{After: g.now - r.arrived, Action: action, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// recordSend records why a target was chosen. The first attempts of a gathering
// route, one for each shard, are left to recordFirstSends.
func (g *Gateway) recordSend(r *request, p *part, t *target) {
	action := "sent"
	switch {
	case r.canary:
		action = "canary"
	case len(p.tried) > 1 && len(p.inFlight) > 1:
		action = "hedged"
	case len(p.tried) > 1:
		action = "retried"
	case len(r.route.Shards) > 0:
		return
	}
	load := "load unknown"
	if t.loadAt > 0 {
		load = fmt.Sprintf("load %d+%d of %d, %d ms old", t.load.Running, t.load.Waiting, t.load.Slots, (g.now-t.loadAt)/time.Millisecond)
	}
	g.recordStep(r, action, string(t.ID), "in %s; slowness %.1f, failures %.2f, %d in flight, %s", t.Place, t.slownessNow(g.now),
		t.failuresNow(g.now), len(t.inFlight), load)
}

// recordFirstSends records in one step how many first attempts of a gathering request
// went to each data centre, and which target is expected to answer last.
func (g *Gateway) recordFirstSends(r *request) {
	serviceTime := g.typicalServiceTime(r.route)
	count := make(map[model.PlaceID]int)
	var slowest *target
	var slowestTime time.Duration
	for i := range r.parts {
		if len(r.parts[i].tried) == 0 {
			continue
		}
		t := g.targets[r.parts[i].tried[0]]
		if t == nil {
			continue
		}
		count[t.Place]++
		if estimate := g.estimate(t, serviceTime); slowest == nil || estimate > slowestTime {
			slowest, slowestTime = t, estimate
		}
	}
	if slowest == nil {
		return
	}
	var places []string
	for p, n := range count {
		places = append(places, fmt.Sprintf("%d in %s", n, p))
	}
	slices.Sort(places)
	g.recordStep(r, "sent", fmt.Sprintf("%d parts", r.attemptsSent), "%s; the slowest expected is %s in %s, %d ms, slowness %.1f, failures %.2f, %d in flight",
		strings.Join(places, ", "), slowest.ID, slowest.Place, slowestTime/time.Millisecond, slowest.slownessNow(g.now), slowest.failuresNow(g.now), len(slowest.inFlight))
}
