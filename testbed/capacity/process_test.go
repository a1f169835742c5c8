package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/proc"
	"galenadyke.dev/testbed/units"
)

// BenchmarkProcesses measures the processor time and the resident memory of an
// idle daemon, including sockets and probes, as means over all daemons. Each
// target is led by one daemon, so that the number of targets led by each daemon
// falls as the number of daemons grows.
func BenchmarkProcesses(b *testing.B) {
	for _, size := range [][2]int{{4, 36}, {8, 36}, {16, 36}, {32, 36}, {8, 9}, {8, 18}, {8, 72}} {
		instances, groups := size[0], size[1] // two targets in each group
		b.Run(fmt.Sprintf("instances=%d/targets=%d", instances, 2*groups), func(b *testing.B) {
			for b.Loop() {
				c := startCell(b, instances, groups)
				cpuTimeBefore := totalCPUTime(b, c)
				const seconds = 10
				time.Sleep(seconds * time.Second) // measured time
				cpuTime := totalCPUTime(b, c) - cpuTimeBefore
				b.ReportMetric(100*cpuTime.Seconds()/seconds/float64(instances), "core-%")
				b.ReportMetric(float64(2*groups)/float64(instances), "led-targets")
				b.ReportMetric(meanResidentBytes(b, c)/(1<<20), "rss-MiB")
				c.Kill()
			}
		})
	}
}

// startCell starts a deployment without booking targets and waits 3 s, until it
// is idle.
func startCell(b *testing.B, instances, groups int) *cell.Cell {
	spec := cell.DefaultSpec()
	spec.Bin, spec.Dir = "../../bin", b.TempDir()
	spec.Instances, spec.Groups, spec.BookingTargets = instances, groups, 0
	spec.Target.Service.Mean = units.Duration(time.Millisecond)
	spec.LogLevel = "warn"
	c, err := cell.Start(context.Background(), spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Kill)
	time.Sleep(3 * time.Second) // until leads are settled and connections are open
	return c
}

// totalCPUTime returns the processor time of all daemons since their start.
func totalCPUTime(b *testing.B, c *cell.Cell) time.Duration {
	var sum time.Duration
	for _, in := range c.Instances {
		d, err := proc.CPUTime(in.PID())
		if err != nil {
			b.Fatal(err)
		}
		sum += d
	}
	return sum
}

// meanResidentBytes returns the mean resident memory of the daemons.
func meanResidentBytes(b *testing.B, c *cell.Cell) float64 {
	sum := 0.0
	for _, in := range c.Instances {
		f, err := os.Open(fmt.Sprintf("/proc/%d/status", in.PID()))
		if err != nil {
			b.Fatal(err)
		}
		for s := bufio.NewScanner(f); s.Scan(); {
			if rest, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
				kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
				if err != nil {
					b.Fatal(err)
				}
				sum += kib * 1024
			}
		}
		_ = f.Close()
	}
	return sum / float64(len(c.Instances))
}

// BenchmarkAllocations measures the heap allocations of all daemons per
// sub-request. The allocations of an idle period of the same length are
// subtracted.
func BenchmarkAllocations(b *testing.B) {
	const searches = 200
	for _, groups := range []int{20, 30, 85} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			for b.Loop() {
				c := startCell(b, 8, groups)
				mallocsBefore, began := totalMallocs(b, c), time.Now()
				for i := range searches {
					if _, err := c.Instances[i%8].Search(b.Context(), "request", "{}", time.Second); err != nil {
						b.Fatal(err)
					}
				}
				elapsed := time.Since(began)
				busyMallocs := totalMallocs(b, c) - mallocsBefore
				mallocsBefore = totalMallocs(b, c)
				time.Sleep(elapsed) // the same time without searches
				idleMallocs := totalMallocs(b, c) - mallocsBefore
				b.ReportMetric((busyMallocs-idleMallocs)/float64(searches*groups), "allocs/sub-request")
				c.Kill()
			}
		})
	}
}

// totalMallocs returns the number of heap allocations of all daemons since their
// start.
func totalMallocs(b *testing.B, c *cell.Cell) float64 {
	sum := 0.0
	for _, in := range c.Instances {
		resp, err := http.Get(in.Entry + "/debug/vars")
		if err != nil {
			b.Fatal(err)
		}
		var vars struct {
			Memstats struct{ Mallocs float64 } `json:"memstats"`
		}
		err = json.NewDecoder(resp.Body).Decode(&vars)
		_ = resp.Body.Close()
		if err != nil {
			b.Fatal(err)
		}
		sum += vars.Memstats.Mallocs
	}
	return sum
}
