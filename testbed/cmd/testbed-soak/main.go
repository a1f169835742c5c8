// Command testbed-soak runs the fault soak by hand.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"galenadyke.dev/testbed/soak"
)

func main() { os.Exit(run()) }

func run() int {
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds, counted up from the first")
	minutes := flag.Float64("minutes", 1, "minutes for each seed")
	instances := flag.Int("instances", 4, "number of instances")
	bin := flag.String("bin", "bin/galenadyked", "the daemon")
	base := flag.Int("base", 10, "third part of the loopback addresses, 0 to 255")
	flag.Parse()
	failed := 0
	for s := *seed; s < *seed+uint64(*seeds); s++ {
		dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", s))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		result, err := soak.Run(soak.Config{Seed: s, Duration: time.Duration(*minutes * float64(time.Minute)), Instances: *instances,
			Dir: dir, Bin: *bin, Base: *base})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		fmt.Printf("seed %d: %d faults, %d of %d requests served, %d broken\n", s, len(result.Faults), result.Served, result.Asked, len(result.Broken))
		if len(result.Broken) == 0 {
			_ = os.RemoveAll(dir) // only what failed is kept
			continue
		}
		failed++
		for _, line := range append(result.Faults, result.Broken...) {
			fmt.Println(" ", line)
		}
		fmt.Println("  logs:", dir)
	}
	if failed > 0 {
		return 1
	}
	return 0
}
