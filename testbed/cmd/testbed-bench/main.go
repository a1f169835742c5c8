// Command testbed-bench runs the benchmark with separate processes and prints a
// table of the results. The row of a failed run shows its error.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"galenadyke.dev/core/model"
	"galenadyke.dev/testbed/bench"
	"galenadyke.dev/testbed/units"
)

func main() {
	o := bench.DefaultOptions()
	var policies, scenarios, percents, bare, jsonPath string
	service := o.Spec.Target.Service.Mean.D()
	flag.StringVar(&policies, "policies", join(o.Policies), "policies, separated by commas")
	flag.StringVar(&scenarios, "scenarios", join(o.Scenarios), "scenarios, separated by commas")
	flag.StringVar(&percents, "percents", "40,70", "loads in percent of the capacity, separated by commas")
	flag.StringVar(&bare, "bare", "", "numbers of groups for which to measure a client without any policy, separated by commas, for example 20,30,85")
	flag.StringVar(&jsonPath, "json", "", "also write all results to this file")
	flag.IntVar(&o.Spec.Instances, "instances", o.Spec.Instances, "entry instances")
	flag.IntVar(&o.Spec.Groups, "groups", o.Spec.Groups, "search groups")
	flag.IntVar(&o.Spec.Replicas, "replicas", o.Spec.Replicas, "replicas of each group")
	flag.IntVar(&o.Spec.Slots, "slots", o.Spec.Slots, "slots of each target")
	flag.IntVar(&o.Spec.BookingTargets, "booking-targets", o.Spec.BookingTargets, "targets of the booking group")
	flag.DurationVar(&service, "service", service, "mean service time")
	flag.DurationVar(&o.Duration, "duration", o.Duration, "measured time of each run")
	flag.DurationVar(&o.WarmUp, "warm-up", o.WarmUp, "duration of the load before the measured time of each run")
	flag.DurationVar(&o.Deadline, "deadline", o.Deadline, "deadline of each call")
	flag.Float64Var(&o.BookingShare, "bookings", o.BookingShare, "share of bookings in the calls, 0 to 1")
	flag.Float64Var(&o.BareRate, "bare-rate", o.BareRate, "searches per second of the client without any policy")
	flag.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the load and the targets")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "testbed-bench: unexpected argument %q; -help lists the options\n", flag.Arg(0))
		os.Exit(2)
	}
	o.Spec.Target.Service.Mean = units.Duration(service)
	o.Spec.Seed = o.Seed
	o.Policies = split[model.Policy](policies)
	o.Scenarios = split[bench.Scenario](scenarios)
	err := parseNumbers(&o, percents, bare)
	if err == nil {
		err = run(o, jsonPath)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "testbed-bench:", err)
		os.Exit(1)
	}
}

func join[T ~string](list []T) string {
	texts := make([]string, len(list))
	for i, v := range list {
		texts[i] = string(v)
	}
	return strings.Join(texts, ",")
}

// split returns the non-empty elements of a comma-separated list.
func split[T ~string](list string) []T {
	var elements []T
	for v := range strings.SplitSeq(list, ",") {
		if v != "" {
			elements = append(elements, T(v))
		}
	}
	return elements
}

// parseNumbers sets the loads and the numbers of groups from comma-separated
// lists.
func parseNumbers(o *bench.Options, percents, bare string) error {
	o.Percents = nil
	for _, text := range split[string](percents) {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		o.Percents = append(o.Percents, v)
	}
	for _, text := range split[string](bare) {
		v, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		o.BareGroups = append(o.BareGroups, v)
	}
	return nil
}

// run runs the benchmark, prints the table, and writes the results to jsonPath
// unless it is empty. Settings and logs are removed unless run returns an error;
// a row with an error does not count as one.
func run(o bench.Options, jsonPath string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o.Spec.Bin = filepath.Dir(self)
	if o.Logs, err = os.MkdirTemp("", "galenadyke-bench-"); err != nil {
		return err
	}
	var rows []bench.Row
	start := time.Now()
	err = bench.Run(ctx, o, func(r bench.Row) {
		rows = append(rows, r)
		fmt.Fprintf(os.Stderr, "%5.0fs %s %.0f%% %s %s\n", time.Since(start).Seconds(), r.Scenario, r.Percent, r.Policy, r.Error)
	})
	if tableErr := bench.WriteTable(os.Stdout, rows); err == nil {
		err = tableErr
	}
	if jsonPath != "" {
		raw, marshalErr := json.MarshalIndent(rows, "", "  ")
		if marshalErr != nil {
			return marshalErr
		}
		if writeErr := os.WriteFile(jsonPath, raw, 0o644); err == nil {
			err = writeErr
		}
	}
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, o.Logs)
	}
	return os.RemoveAll(o.Logs)
}
