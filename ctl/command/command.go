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

// Environment holds the standard streams of a command.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
}

// All returns the subcommands of this package.
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

// Run parses args, which exclude the program name, and runs the subcommand that
// they name. It returns the exit code.
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

// positionalArgs returns the positional arguments. The flag package stops parsing
// at the first positional argument; positionalArgs also parses the flags that
// follow.
func positionalArgs(flags *flag.FlagSet) ([]string, error) {
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

// usageError prints the error and the usage of c to standard error.
func (env Environment) usageError(c subcommands.Command, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(env.Stderr, "galenadyke %s: %s\n%s", c.Name(), fmt.Sprintf(format, args...), c.Usage())
	return subcommands.ExitUsageError
}

// fail prints an error that is neither a usage error nor a finding to standard
// error.
func (env Environment) fail(c subcommands.Command, err error) subcommands.ExitStatus {
	fmt.Fprintf(env.Stderr, "galenadyke %s: %v\n", c.Name(), err)
	return subcommands.ExitFailure
}

// printJSON writes v to standard output as indented JSON.
func (env Environment) printJSON(v any) error {
	e := json.NewEncoder(env.Stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
