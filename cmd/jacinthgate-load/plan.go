package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/load"
)

// planCommand prints the example plan.
type planCommand struct{}

// Name implements subcommands.Command.
func (*planCommand) Name() string { return "plan" }

// Synopsis implements subcommands.Command.
func (*planCommand) Synopsis() string { return "print an example plan" }

// Usage implements subcommands.Command.
func (*planCommand) Usage() string { return "plan > plan.json\n" }

// SetFlags implements subcommands.Command.
func (*planCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*planCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := writeJSON(load.ExamplePlan()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
