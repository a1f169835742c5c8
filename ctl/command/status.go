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

// maxStatusCalls bounds the instances that are asked at once.
const maxStatusCalls = 32

// digestCell is the number of digits of a digest in a table.
const digestCell = 12

// statusCommand asks instances for their state and compares the answers.
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
	if rest, err := positional(f); err != nil || len(rest) > 0 || c.instances == "" {
		return c.env.usage(c, "name the instances with --instances")
	}
	var clients []*client.Client
	addresses := strings.Split(c.instances, ",")
	for i, address := range addresses {
		addresses[i] = strings.TrimSpace(address)
		cl, err := client.New(addresses[i])
		if err != nil {
			return c.env.usage(c, "%v", err)
		}
		defer cl.Close()
		clients = append(clients, cl)
	}
	report := newFleetReport(askAll(ctx, addresses, clients))
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

// instanceReport is the answer of one instance, or its error.
type instanceReport struct {
	Address string         `json:"address"`
	Status  *client.Status `json:"status,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// askAll asks the instances concurrently. The result is in the order of the
// addresses.
func askAll(ctx context.Context, addresses []string, clients []*client.Client) []instanceReport {
	reports := make([]instanceReport, len(addresses))
	slots := make(chan struct{}, maxStatusCalls)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			reports[i].Address = address
			status, err := clients[i].Status(ctx)
			if err != nil {
				reports[i].Error = err.Error()
				return
			}
			reports[i].Status = status
		})
	}
	group.Wait()
	return reports
}

// shortDigest cuts a digest for a table.
func shortDigest(digest string) string { return dash(digest[:min(digestCell, len(digest))]) }

// formatOrder names a configuration.
func formatOrder(generation uint64, digest string) string {
	return fmt.Sprintf("generation %d (%s)", generation, shortDigest(digest))
}
