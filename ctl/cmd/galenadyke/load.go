package main

import (
	"github.com/google/subcommands"

	"galenadyke.dev/ctl/load"
)

func init() { subcommands.Register(load.NewCommand(), "measurement") }
