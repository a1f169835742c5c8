// Command testbed-demo runs the demonstration with separate processes. It fails
// with exit status 1 if an expectation is not met.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"galenadyke.dev/testbed/cell"
	"galenadyke.dev/testbed/demo"
)

// timeout bounds the whole demonstration.
const timeout = time.Minute

func main() {
	keep := flag.Bool("keep", false, "keep the settings files and logs after success")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "testbed-demo: unexpected argument %q; -help lists the options\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(*keep); err != nil {
		fmt.Fprintln(os.Stderr, "testbed-demo:", err)
		os.Exit(1)
	}
}

func run(keep bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	spec := cell.DefaultSpec()
	spec.Bin = filepath.Dir(self)
	if spec.Dir, err = os.MkdirTemp("", "galenadyke-demo-"); err != nil {
		return err
	}
	if err := demo.Run(ctx, os.Stdout, spec); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, spec.Dir)
	}
	if keep {
		fmt.Println("logs are in", spec.Dir)
		return nil
	}
	return os.RemoveAll(spec.Dir)
}
