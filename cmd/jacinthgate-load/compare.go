package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/load"
)

// compareCommand compares the mesh with direct calls in one run.
type compareCommand struct {
	options
	direct string
}

// Name implements subcommands.Command.
func (*compareCommand) Name() string { return "compare" }

// Synopsis implements subcommands.Command.
func (*compareCommand) Synopsis() string {
	return "send in turn through the mesh and directly, and print the difference"
}

// Usage implements subcommands.Command.
func (*compareCommand) Usage() string {
	return "compare -entries IP:port[,...] -direct IP:port[,...] [flags]\n"
}

// SetFlags implements subcommands.Command.
func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.StringVar(&c.direct, "direct", "", "backend servers that are called directly, IP:port on loopback")
}

// comparison is the JSON output.
type comparison struct {
	Result      load.Result       `json:"result"`
	Differences []load.Difference `json:"differences"`
}

// Execute implements subcommands.Command.
func (c *compareCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	direct, err := load.ParseAddresses(c.direct)
	if err != nil {
		return fail(err)
	}
	if len(direct) == 0 {
		return fail(&load.ArmError{Name: load.ArmDirect})
	}
	result, err := c.measure(ctx, direct)
	if err != nil {
		return fail(err)
	}
	if err := c.write(result); err != nil {
		return fail(err)
	}
	return status(result)
}

func (c *compareCommand) write(result load.Result) error {
	differences := result.Differences()
	if c.output == outputJSON {
		return writeJSON(comparison{Result: result, Differences: differences})
	}
	if err := result.Write(os.Stdout); err != nil {
		return err
	}
	return load.WriteDifferences(os.Stdout, differences)
}
