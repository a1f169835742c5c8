package gateway

import (
	"time"

	"galenadyke.dev/core/model"
)

// The network round-trip time to a data centre is measured by connects, which take
// one round trip and wait for nothing else. Most of them take a little longer because
// of the processor or a lost packet, so the shortest is used. An increase is followed
// slowly.

// learnRoundTrip updates the round trip to a data centre from the duration of a
// connect. A duration of 0 means that there was no connect.
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

// roundTrip returns the network round-trip time to a target in a data centre, an
// assumed one until a connect was measured.
func (g *Gateway) roundTrip(p model.PlaceID) time.Duration {
	if rtt, known := g.roundTrips[p]; known {
		return rtt
	}
	if p == g.cfg.Place {
		return localRoundTrip
	}
	return remoteRoundTrip
}

// nearestRemoteRoundTrip returns the shortest measured network round-trip time to
// another data centre, or remoteRoundTrip if there is none.
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
