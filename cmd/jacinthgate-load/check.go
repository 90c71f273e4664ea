package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/load"
)

// checkCommand compares an earlier result with the runs of the backend
// servers, for instance after an outage has ended.
type checkCommand struct {
	result   string
	backends string
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string {
	return "check an earlier JSON result against what the backend servers ran"
}

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check -result FILE -backends IP:port[,...]\n" }

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.result, "result", "", "file with the JSON output of run")
	f.StringVar(&c.backends, "backends", "", "backend servers, IP:port on loopback")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	result, err := c.check(ctx)
	if err != nil {
		return fail(err)
	}
	if err := result.Write(os.Stdout); err != nil {
		return fail(err)
	}
	return status(result)
}

func (c *checkCommand) check(ctx context.Context) (load.Result, error) {
	backends, err := load.ParseAddresses(c.backends)
	if err != nil {
		return load.Result{}, err
	}
	if len(backends) == 0 {
		return load.Result{}, &load.ArmError{Name: "check"}
	}
	b, err := os.ReadFile(c.result)
	if err != nil {
		return load.Result{}, err
	}
	var result load.Result
	if err := json.Unmarshal(b, &result); err != nil {
		return load.Result{}, err
	}
	return result, checkRuns(ctx, &result, backends)
}
