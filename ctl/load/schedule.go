package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one scheduled call.
type Arrival struct {
	At      time.Duration // since the start of the run
	Entry   int           // index in Config.Entries
	Booking bool
}

// schedule draws all arrivals. The same configuration gives the same ones.
func schedule(c Config) []Arrival {
	rng := rand.New(rand.NewPCG(c.Seed, 0x6c6f6164))
	var all []Arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= c.Duration {
			return all
		}
		all = append(all, Arrival{At: at, Entry: rng.IntN(len(c.Entries)), Booking: rng.Float64() < c.BookingShare})
	}
}
