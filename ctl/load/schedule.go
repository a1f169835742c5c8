package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one scheduled call.
type Arrival struct {
	At      time.Duration // time since the start of the run
	Entry   int           // index in Config.Entries
	Booking bool
}

// schedule draws all arrivals of a run. The same configuration always gives the
// same arrivals.
func schedule(c Config) []Arrival {
	rng := rand.New(rand.NewPCG(c.Seed, 0x6c6f6164)) // "load" in ASCII
	var arrivals []Arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= c.Duration {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{At: at, Entry: rng.IntN(len(c.Entries)), Booking: rng.Float64() < c.BookingShare})
	}
}
