package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"galenadyke.dev/core/model"
)

// Step is one decision about a request, kept for the line that is logged at its
// end.
type Step struct {
	After  time.Duration // since the arrival
	Action string        // what was decided or what happened
	// Subject is the target, service or instance that it is about.
	Subject string
	// Detail has the inputs that decided, with their age.
	Detail string
}

// maxSteps bounds the steps that are kept of one request. What comes later is
// counted.
const maxSteps = 24

// note keeps a step of a request.
func (g *Gateway) recordStep(r *request, action, subject, format string, args ...any) {
	if len(r.steps) >= maxSteps {
		r.stepsDropped++
		return
	}
	r.steps = append(r.steps, Step{After: g.now - r.arrived, Action: action, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// noteSend keeps why a target was chosen. The first attempts of a gathering route
// are one for each shard, and are kept together by noteFirst.
func (g *Gateway) recordSend(r *request, p *part, t *target) {
	action := "sent"
	switch {
	case len(p.tried) > 1 && p.inFlight > 1:
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

// noteFirst keeps where the first attempts of a gathering route went, and the one
// that is expected to be answered last.
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
	g.recordStep(r, "sent", fmt.Sprintf("%d parts", r.sent), "%s; the slowest expected is %s in %s, %d ms, slowness %.1f, failures %.2f, %d in flight",
		strings.Join(places, ", "), slowest.ID, slowest.Place, slowestTime/time.Millisecond, slowest.slownessNow(g.now), slowest.failuresNow(g.now), len(slowest.inFlight))
}
