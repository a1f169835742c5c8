package load

import (
	"math/rand/v2"
	"time"
)

// arrival is one scheduled call.
type arrival struct {
	at      time.Duration // since the start of the run
	entry   int
	booking bool
}

// schedule draws all arrivals. The same configuration gives the same ones.
func schedule(c Config) []arrival {
	rng := rand.New(rand.NewPCG(c.Seed, 0x6c6f6164))
	var all []arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= c.Duration {
			return all
		}
		all = append(all, arrival{at: at, entry: rng.IntN(len(c.Entries)), booking: rng.Float64() < c.BookingShare})
	}
}
