package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/version"
)

// versionCmd prints the version.
type versionCmd struct{ output }

func (*versionCmd) Name() string               { return "version" }
func (*versionCmd) Synopsis() string           { return "print the version" }
func (*versionCmd) Usage() string              { return "version [flags]\n" }
func (c *versionCmd) SetFlags(f *flag.FlagSet) { c.register(f) }

// versionInfo is what version prints as JSON.
type versionInfo struct {
	Program string `json:"program"`
	Version string `json:"version"`
}

func (c *versionCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	words, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(words) > 0 {
		return usage(f)
	}
	v := &versionInfo{Program: "jacinthgatectl", Version: version.String()}
	c.print(v, func(w *tabwriter.Writer) { fmt.Fprintln(w, v.Program, v.Version) })
	return exitInForce
}
