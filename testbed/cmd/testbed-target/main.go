// Command testbed-target serves stand-ins for targets. It prints their addresses
// as one line of JSON and ends on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"galenadyke.dev/testbed/target"
)

func main() {
	path := flag.String("config", "", "path of the settings file (JSON)")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "testbed-target: unexpected argument %q; -help lists the options\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "testbed-target:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	cfg, err := target.Parse(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s, err := target.Start(cfg)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(s.Started()); err != nil {
		return err
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.Shutdown(shutdownCtx)
	return nil
}
