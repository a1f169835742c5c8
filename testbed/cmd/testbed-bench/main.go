// Command testbed-bench runs the measurements with separate processes and
// prints a table.
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
	flag.StringVar(&percents, "percents", "40,70", "loads in percent of the capacity")
	flag.StringVar(&bare, "bare", "", "numbers of groups at which to measure a client without any policy, for example 20,30,85")
	flag.StringVar(&jsonPath, "json", "", "also write all results to this file")
	flag.IntVar(&o.Spec.Instances, "instances", o.Spec.Instances, "entry instances")
	flag.IntVar(&o.Spec.Groups, "groups", o.Spec.Groups, "search groups")
	flag.IntVar(&o.Spec.Replicas, "replicas", o.Spec.Replicas, "replicas of each group")
	flag.IntVar(&o.Spec.Slots, "slots", o.Spec.Slots, "slots of each target")
	flag.IntVar(&o.Spec.BookingTargets, "booking-targets", o.Spec.BookingTargets, "targets of the booking group")
	flag.DurationVar(&service, "service", service, "mean service time")
	flag.DurationVar(&o.Duration, "duration", o.Duration, "time measured in each run")
	flag.DurationVar(&o.WarmUp, "warm-up", o.WarmUp, "load before each run")
	flag.DurationVar(&o.Deadline, "deadline", o.Deadline, "deadline of each call")
	flag.Float64Var(&o.BookingShare, "bookings", o.BookingShare, "share of bookings")
	flag.Float64Var(&o.BareRate, "bare-rate", o.BareRate, "searches per second of the client without any policy")
	flag.Uint64Var(&o.Seed, "seed", o.Seed, "seed of load and targets")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "testbed-bench: unexpected argument %q; -help lists the options\n", flag.Arg(0))
		os.Exit(2)
	}
	o.Spec.Target.Service.Mean = units.Duration(service)
	o.Spec.Seed = o.Seed
	o.Policies = split[model.Policy](policies)
	o.Scenarios = split[bench.Scenario](scenarios)
	err := numbers(&o, percents, bare)
	if err == nil {
		err = run(o, jsonPath)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "testbed-bench:", err)
		os.Exit(1)
	}
}

func join[T ~string](list []T) string {
	all := make([]string, len(list))
	for i, v := range list {
		all[i] = string(v)
	}
	return strings.Join(all, ",")
}

func split[T ~string](list string) []T {
	var all []T
	for v := range strings.SplitSeq(list, ",") {
		if v != "" {
			all = append(all, T(v))
		}
	}
	return all
}

func numbers(o *bench.Options, percents, bare string) error {
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
	began := time.Now()
	err = bench.Run(ctx, o, func(r bench.Row) {
		rows = append(rows, r)
		fmt.Fprintf(os.Stderr, "%5.0fs %s %.0f%% %s %s\n", time.Since(began).Seconds(), r.Scenario, r.Percent, r.Policy, r.Error)
	})
	if wrote := bench.WriteTable(os.Stdout, rows); err == nil {
		err = wrote
	}
	if jsonPath != "" {
		raw, merr := json.MarshalIndent(rows, "", "  ")
		if merr != nil {
			return merr
		}
		if werr := os.WriteFile(jsonPath, raw, 0o644); err == nil {
			err = werr
		}
	}
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, o.Logs)
	}
	return os.RemoveAll(o.Logs)
}
