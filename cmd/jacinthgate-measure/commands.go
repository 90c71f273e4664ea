package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/measure"
)

// controlCommand measures changes of the configuration, with or without the
// baseline beside it.
type controlCommand struct {
	options
	name     string
	baseline bool
	changes  int
	burst    int
	repeat   int
	report   string
}

func (c *controlCommand) Name() string { return c.name }

func (c *controlCommand) Synopsis() string {
	if c.baseline {
		return "measure the fleet beside as many plain pollers of the platform"
	}
	return "measure changes of the configuration on fleets of several sizes"
}

func (c *controlCommand) Usage() string { return c.name + " [flags]\n" + c.Synopsis() + "\n" }

func (c *controlCommand) SetFlags(f *flag.FlagSet) {
	c.set(f, "10,30,100,200", 100)
	f.IntVar(&c.changes, "changes", 20, "number of changes, one after the other")
	f.IntVar(&c.burst, "burst", 20, "number of changes without a pause")
	f.IntVar(&c.repeat, "repeat", 1, "runs of each size")
	f.StringVar(&c.report, "report", c.name, "name of the report")
}

func (c *controlCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sizes, err := c.sizes()
	if err != nil {
		return fail(err)
	}
	report := measure.NewReport(commandLine())
	for _, nodes := range sizes {
		for range c.repeat {
			run, err := c.one(ctx, nodes)
			if err != nil {
				return fail(err)
			}
			report.Control = append(report.Control, run)
		}
	}
	if err := finish(report, c.out, c.report); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *controlCommand) one(ctx context.Context, nodes int) (*measure.Control, error) {
	dir, remove, err := c.directory(fmt.Sprintf("%s-%d", c.name, nodes))
	if err != nil {
		return nil, err
	}
	defer remove()
	fmt.Fprintln(os.Stderr, "measuring", nodes, "nodes")
	return measure.RunControl(ctx, measure.Options{
		Bin: c.bin, Dir: dir, Nodes: nodes, Zones: zonesFor(nodes),
		Size:    measure.Size{Contracts: c.contracts, Routes: 4, Services: 27},
		Changes: c.changes, Burst: c.burst, Idle: c.idle, Baseline: c.baseline,
	})
}

// churnCommand measures nodes and backend servers that come and go.
type churnCommand struct {
	options
}

func (*churnCommand) Name() string     { return "churn" }
func (*churnCommand) Synopsis() string { return "measure nodes and backend servers that come and go" }
func (*churnCommand) Usage() string {
	return `churn [flags]
Runs each fleet with 10 routes, where one backend server comes and goes, and
with 1,000 routes, where nodes are killed, frozen and restarted as well.
`
}

func (c *churnCommand) SetFlags(f *flag.FlagSet) { c.set(f, "60", 250) }

// backends is the number of backend servers of a fleet.
const backends = 6

func (c *churnCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sizes, err := c.sizes()
	if err != nil {
		return fail(err)
	}
	report := measure.NewReport(commandLine())
	for _, nodes := range sizes {
		few := measure.Size{Contracts: 5, Routes: 2, Services: backends}
		many := measure.Size{Contracts: c.contracts, Routes: 4, Services: backends}
		for _, size := range []measure.Size{few, many} {
			run, err := c.one(ctx, nodes, size, size == many)
			if err != nil {
				return fail(err)
			}
			report.Churn = append(report.Churn, run)
		}
	}
	if err := finish(report, c.out, c.Name()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *churnCommand) one(ctx context.Context, nodes int, size measure.Size, whole bool) (*measure.Churn, error) {
	dir, remove, err := c.directory(fmt.Sprintf("churn-%d-%d", nodes, size.Contracts))
	if err != nil {
		return nil, err
	}
	defer remove()
	fmt.Fprintln(os.Stderr, "measuring", nodes, "nodes with", size.Contracts*size.Routes, "routes")
	return measure.RunChurn(ctx, measure.Options{
		Bin: c.bin, Dir: dir, Nodes: nodes, Zones: zonesFor(nodes),
		Size: size, Idle: c.idle, Backends: backends,
	}, whole)
}

// coresCommand measures the decision cores alone.
type coresCommand struct {
	out string
}

func (*coresCommand) Name() string     { return "cores" }
func (*coresCommand) Synopsis() string { return "measure the decision cores at the design size" }
func (*coresCommand) Usage() string    { return "cores [-out DIRECTORY]\nStarts no process.\n" }

func (c *coresCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", defaultOut, "`directory` of the reports; empty keeps none")
}

func (c *coresCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	cores, err := measure.RunCores()
	if err != nil {
		return fail(err)
	}
	report := measure.NewReport(commandLine())
	report.Cores = cores
	if err := finish(report, c.out, c.Name()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// pageCommand writes the tables of the reports into the pages.
type pageCommand struct {
	out string
}

func (*pageCommand) Name() string     { return "page" }
func (*pageCommand) Synopsis() string { return "write the tables of the reports into the pages" }
func (*pageCommand) Usage() string {
	return "page [-out DIRECTORY] PAGE...\nPuts each table between its markers in the pages.\n"
}

func (c *pageCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", defaultOut, "`directory` of the reports")
}

func (c *pageCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	pages := f.Args()
	if len(pages) == 0 {
		pages = []string{"docs/MEASUREMENTS.md", "docs/CAPACITY.md"}
	}
	if err := measure.WritePages(c.out, pages...); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
