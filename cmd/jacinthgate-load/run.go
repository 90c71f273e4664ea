package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/load"
)

// Values of -output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// options are the flags that run and compare share.
type options struct {
	plan     string
	entries  string
	backends string
	output   string
}

func (o *options) set(f *flag.FlagSet) {
	f.StringVar(&o.plan, "plan", "", "file with the JSON plan; empty takes the example plan")
	f.StringVar(&o.entries, "entries", "", "entry proxies, comma-separated IP:port on loopback")
	f.StringVar(&o.backends, "backends", "", "backend servers whose GET /runs is checked afterwards; empty checks none")
	f.StringVar(&o.output, "output", outputTable, "table or json")
}

// readPlan returns the plan of a file, or the example plan.
func readPlan(file string) (load.Plan, error) {
	if file == "" {
		return load.ExamplePlan(), nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return load.Plan{}, err
	}
	return load.ParsePlan(b)
}

// measure runs the plan over the entry proxies and, where given, direct
// addresses, and checks the runs of the backend servers.
func (o *options) measure(ctx context.Context, direct []string) (load.Result, error) {
	plan, err := readPlan(o.plan)
	if err != nil {
		return load.Result{}, err
	}
	entries, err := load.ParseAddresses(o.entries)
	if err != nil {
		return load.Result{}, err
	}
	backends, err := load.ParseAddresses(o.backends)
	if err != nil {
		return load.Result{}, err
	}
	arms := []load.Arm{{Name: load.ArmMesh, Addresses: entries}}
	if len(direct) > 0 {
		arms = append(arms, load.Arm{Name: load.ArmDirect, Addresses: direct})
	}
	result, err := load.Run(ctx, plan, arms)
	if err != nil || len(backends) == 0 {
		return result, err
	}
	return result, checkRuns(context.WithoutCancel(ctx), &result, backends)
}

func checkRuns(ctx context.Context, result *load.Result, backends []string) error {
	runs, err := load.ReadRuns(ctx, backends)
	if err != nil {
		return err
	}
	result.CheckRuns(runs)
	return nil
}

// status returns the exit status of a run.
func status(result load.Result) subcommands.ExitStatus {
	if result.Broken() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

func writeJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// runCommand offers a load.
type runCommand struct{ options }

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "offer a load and check the promises" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string { return "run -entries IP:port[,IP:port...] [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	result, err := c.measure(ctx, nil)
	if err != nil {
		return fail(err)
	}
	write := func() error { return result.Write(os.Stdout) }
	if c.output == outputJSON {
		write = func() error { return writeJSON(result) }
	}
	if err := write(); err != nil {
		return fail(err)
	}
	return status(result)
}
