package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
)

// Environment is where a command reads and writes.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
}

// All returns the commands of this package.
func All(env Environment) []subcommands.Command {
	return []subcommands.Command{
		&checkCommand{env: env},
		&bundleCommand{env: env},
		&diffCommand{env: env},
		&planCommand{env: env},
		&statusCommand{env: env},
		&searchCommand{env: env},
		&bookCommand{env: env},
	}
}

// Run parses the arguments, without the program's name, and runs one command.
// It returns the exit code.
func Run(ctx context.Context, env Environment, args []string, commands ...subcommands.Command) int {
	flags := flag.NewFlagSet("galenadyke", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	commander := subcommands.NewCommander(flags, "galenadyke")
	commander.Output, commander.Error = env.Stdout, env.Stderr
	commander.Register(commander.HelpCommand(), "")
	for _, c := range commands {
		commander.Register(c, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// positional returns the arguments that are not flags. The flag package stops
// at the first of them; flags after it are parsed here.
func positional(flags *flag.FlagSet) ([]string, error) {
	var values []string
	for args := flags.Args(); len(args) > 0; {
		if len(args[0]) > 1 && strings.HasPrefix(args[0], "-") {
			if err := flags.Parse(args); err != nil {
				return nil, err
			}
			args = flags.Args()
			continue
		}
		values = append(values, args[0])
		args = args[1:]
	}
	return values, nil
}

// usage reports wrong usage of a command.
func (env Environment) usage(c subcommands.Command, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(env.Stderr, "galenadyke %s: %s\n%s", c.Name(), fmt.Sprintf(format, args...), c.Usage())
	return subcommands.ExitUsageError
}

// fail reports an error that is not a finding.
func (env Environment) fail(c subcommands.Command, err error) subcommands.ExitStatus {
	fmt.Fprintf(env.Stderr, "galenadyke %s: %v\n", c.Name(), err)
	return subcommands.ExitFailure
}

// printJSON writes one JSON value.
func (env Environment) printJSON(v any) error {
	e := json.NewEncoder(env.Stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
