package gateway

import (
	"time"

	"galenadyke.dev/core/model"
)

// The network time to a data centre is learned from connects, which take one
// round trip and wait for nothing else. Most of them are a little late, because of
// the processor or a lost packet, so the shortest counts; a way that has become
// longer is learned slowly.

// learnWay takes over how long a connect to a data centre took.
func (g *Gateway) learnRoundTrip(p model.PlaceID, took time.Duration) {
	if took <= 0 {
		return
	}
	rtt, known := g.roundTrips[p]
	if !known || took < rtt {
		g.roundTrips[p] = took
		return
	}
	g.roundTrips[p] = rtt + time.Duration(float64(took-rtt)*longerRoundTripWeight)
}

// roundTrip returns the network time to a target in a data centre and back.
func (g *Gateway) roundTrip(p model.PlaceID) time.Duration {
	if rtt, known := g.roundTrips[p]; known {
		return rtt
	}
	if p == g.cfg.Place {
		return localRoundTrip
	}
	return remoteRoundTrip
}

// nearestRemote returns the network time to the nearest other data centre and
// back.
func (g *Gateway) nearestRemoteRoundTrip() time.Duration {
	nearest := time.Duration(0)
	for p, rtt := range g.roundTrips {
		if p != g.cfg.Place && (nearest == 0 || rtt < nearest) {
			nearest = rtt
		}
	}
	if nearest == 0 {
		return remoteRoundTrip
	}
	return nearest
}
