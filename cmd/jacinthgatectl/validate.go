package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/google/subcommands"
)

// validateCmd checks documents without a node.
type validateCmd struct{ output }

func (*validateCmd) Name() string     { return "validate" }
func (*validateCmd) Synopsis() string { return "check documents without a node" }
func (*validateCmd) Usage() string {
	return `validate [flags] FILE...
Checks contracts, services and batches, each file and all of them as one change.
Prints every fault with its file and path, what was found and what is allowed.
A FILE of - is standard input. What depends on documents in force, such as a
route's service, is checked by apply. Exit codes: 0 no fault; 1 a file can't be
read; 3 faults.
`
}

func (c *validateCmd) SetFlags(f *flag.FlagSet) { c.register(f) }

// validated is what validate prints as JSON when there is no fault.
type validated struct {
	Files     []string `json:"files"`
	Contracts int      `json:"contracts"`
	Services  int      `json:"services"`
	Deletions int      `json:"deletions"`
}

func (c *validateCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	files, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(files) == 0 {
		return usage(f)
	}
	batch, err := readBatches(files)
	if err != nil {
		return c.fail(err)
	}
	v := &validated{
		Files:     files,
		Contracts: len(batch.Contracts),
		Services:  len(batch.Services),
		Deletions: len(batch.DeleteContracts) + len(batch.DeleteServices),
	}
	c.print(v, func(w *tabwriter.Writer) {
		for _, file := range files {
			fmt.Fprintf(w, "%s: ok\n", file)
		}
	})
	return exitInForce
}
