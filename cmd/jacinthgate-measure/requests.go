package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/measure"
)

// requestsCommand measures the path of a request, or its policies under load.
type requestsCommand struct {
	policies   bool
	bin        string
	out        string
	deployment string
	length     time.Duration
	service    float64
	callers    int
}

// Name implements subcommands.Command.
func (c *requestsCommand) Name() string {
	if c.policies {
		return "policies"
	}
	return "requests"
}

// Synopsis implements subcommands.Command.
func (c *requestsCommand) Synopsis() string {
	if c.policies {
		return "measure overload, flooding organisations and faulty backend servers"
	}
	return "measure the latency and processor time that the mesh adds to a call"
}

// Usage implements subcommands.Command.
func (c *requestsCommand) Usage() string { return c.Name() + " [flags]\n" + c.Synopsis() + "\n" }

// SetFlags implements subcommands.Command.
func (c *requestsCommand) SetFlags(f *flag.FlagSet) {
	service := 0.0
	if c.policies {
		service = 100
	}
	f.StringVar(&c.bin, "bin", "bin", "`directory` of the binaries")
	f.StringVar(&c.out, "out", defaultOut, "`directory` of the reports; empty keeps none")
	f.StringVar(&c.deployment, "deployment", "", "room-signage or kalo-kit; empty takes both, or the first for policies")
	f.DurationVar(&c.length, "length", 10*time.Second, "length of each step")
	f.Float64Var(&c.service, "service-ms", service, "service time of a backend server in milliseconds")
	f.IntVar(&c.callers, "callers", 48, "callers of the step without a pause")
}

// rates are the calls per second and node.
var rates = []int{1, 100, 300}

// Execute implements subcommands.Command.
func (c *requestsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report := &measure.RequestReport{Report: measure.NewReport(commandLine())}
	for i, d := range measure.Deployments {
		if c.deployment != "" && c.deployment != d.Name || c.policies && c.deployment == "" && i > 0 {
			continue
		}
		if err := c.one(ctx, report, d); err != nil {
			return fail(err)
		}
	}
	fmt.Print(report.Tables())
	if c.out == "" {
		return subcommands.ExitSuccess
	}
	if err := report.Save(c.out, c.Name()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *requestsCommand) one(ctx context.Context, report *measure.RequestReport, d measure.Deployment) error {
	dir, err := os.MkdirTemp("", "jacinthgate-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o := measure.RequestOptions{
		Bin: c.bin, Dir: dir, Deployment: d, ServiceMillis: c.service,
		Length: c.length, Rates: rates, Callers: c.callers,
	}
	if c.policies {
		p, err := measure.RunPolicies(ctx, o)
		report.Policies = append(report.Policies, p)
		return err
	}
	r, err := measure.RunRequests(ctx, o)
	report.Requests = append(report.Requests, r)
	return err
}
