// Command testbed-soak runs the fault soak with consecutive seeds. It prints one
// line for each seed. A seed fails if its run violated a guarantee; its faults,
// violations and log directory are then printed too. The exit status is 1 if a
// seed failed and 2 if a run could not start.
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
	seeds := flag.Int("seeds", 1, "number of consecutive seeds from the first")
	minutes := flag.Float64("minutes", 1, "duration of the run of each seed in minutes")
	instances := flag.Int("instances", 4, "number of instances")
	bin := flag.String("bin", "bin/galenadyked", "path of the daemon")
	addressOctet := flag.Int("base", 10, "third octet of the loopback addresses, 0 to 255")
	flag.Parse()
	failed := 0
	for s := *seed; s < *seed+uint64(*seeds); s++ {
		dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", s))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		result, err := soak.Run(soak.Config{Seed: s, Duration: time.Duration(*minutes * float64(time.Minute)), Instances: *instances,
			Dir: dir, Bin: *bin, AddressOctet: *addressOctet})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		fmt.Printf("seed %d: %d faults, %d of %d requests served, %d broken\n", s, len(result.Faults), result.Served, result.Sent, len(result.Violations))
		if len(result.Violations) == 0 {
			_ = os.RemoveAll(dir) // only the logs of failed runs are kept
			continue
		}
		failed++
		for _, line := range append(result.Faults, result.Violations...) {
			fmt.Println(" ", line)
		}
		fmt.Println("  logs:", dir)
	}
	if failed > 0 {
		return 1
	}
	return 0
}
