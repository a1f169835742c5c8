package command

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"

	"galenadyke.dev/ctl/client"
	"github.com/google/subcommands"
)

// maxStatusCalls bounds the status calls in flight.
const maxStatusCalls = 32

// shortDigestLength is the number of digits of a digest in a table.
const shortDigestLength = 12

// statusCommand asks instances for their status and compares the answers.
type statusCommand struct {
	env       Environment
	instances string
	json      bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the state of running instances" }
func (*statusCommand) Usage() string {
	return `status --instances ADDRESS[,ADDRESS...] [--json]
  Ask each instance for its state. Show the configuration in force and the age
  of its last confirmation, the targets that drain, are out or warm up, and
  what the instances disagree about.
  Exit code 1: an instance does not answer or is not ready, or they disagree.
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.instances, "instances", "", "IP addresses and ports of instances, separated by commas")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if args, err := positionalArgs(f); err != nil || len(args) > 0 || c.instances == "" {
		return c.env.usageError(c, "name the instances with --instances")
	}
	var clients []*client.Client
	addresses := strings.Split(c.instances, ",")
	for i, address := range addresses {
		addresses[i] = strings.TrimSpace(address)
		cl, err := client.New(addresses[i])
		if err != nil {
			return c.env.usageError(c, "%v", err)
		}
		defer cl.Close()
		clients = append(clients, cl)
	}
	report := newFleetReport(fetchStatuses(ctx, addresses, clients))
	var err error
	if c.json {
		err = c.env.printJSON(report)
	} else {
		err = report.print(c.env.Stdout)
	}
	if err != nil {
		return c.env.fail(c, err)
	}
	if len(report.Problems) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// instanceReport holds the status of one instance, or the error of the status call.
type instanceReport struct {
	Address string         `json:"address"`
	Status  *client.Status `json:"status,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// fetchStatuses calls the instances concurrently. The reports are in the order
// of the addresses.
func fetchStatuses(ctx context.Context, addresses []string, clients []*client.Client) []instanceReport {
	reports := make([]instanceReport, len(addresses))
	semaphore := make(chan struct{}, maxStatusCalls)
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			reports[i].Address = address
			status, err := clients[i].Status(ctx)
			if err != nil {
				reports[i].Error = err.Error()
				return
			}
			reports[i].Status = status
		})
	}
	wg.Wait()
	return reports
}

// shortenDigest returns the first digits of a digest, for a table.
func shortenDigest(digest string) string { return orDash(digest[:min(shortDigestLength, len(digest))]) }

// formatConfiguration identifies a configuration by generation and digest.
func formatConfiguration(generation uint64, digest string) string {
	return fmt.Sprintf("generation %d (%s)", generation, shortenDigest(digest))
}
