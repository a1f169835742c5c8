// Command testbed-platform serves a stand-in for the configuration service and
// the instance list. It prints its addresses as one line of JSON and ends on
// SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"galenadyke.dev/testbed/platform"
)

func main() {
	control := flag.String("control", "127.0.0.1:0", "address of the control endpoint")
	listen := flag.String("listen", "127.0.0.1:0", "addresses of the endpoints, separated by commas")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "testbed-platform: unexpected argument %q; -help lists the options\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(platform.Config{Control: *control, Listen: strings.Split(*listen, ",")}); err != nil {
		fmt.Fprintln(os.Stderr, "testbed-platform:", err)
		os.Exit(1)
	}
}

func run(cfg platform.Config) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := platform.Start(cfg)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(s.Started()); err != nil {
		return err
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.Shutdown(shutdownCtx)
	return nil
}
