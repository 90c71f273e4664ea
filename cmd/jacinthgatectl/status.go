package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// statusCmd shows versions, lag, cut-off zones and endpoints.
type statusCmd struct {
	readVerb
	nodes bool
}

func (*statusCmd) Name() string     { return "status" }
func (*statusCmd) Synopsis() string { return "show versions held, lag, cut-off zones and endpoints" }
func (*statusCmd) Usage() string {
	return `status [flags]
Shows what the asked node knows of the mesh: the version it holds and the newest
known, for each zone the version reported, by how many versions it lags, the nodes
missing and whether it is cut off, and backend servers by service and zone.
` + readExits
}

func (c *statusCmd) SetFlags(f *flag.FlagSet) {
	c.readVerb.SetFlags(f)
	f.BoolVar(&c.nodes, "nodes", false, "list every node (JSON always does)")
}

func (c *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	words, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(words) > 0 {
		return usage(f)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	s, err := client.Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	c.print(s, func(w *tabwriter.Writer) { c.text(w, s) })
	return exitInForce
}

func (c *statusCmd) text(w *tabwriter.Writer, s *operator.Status) {
	fmt.Fprintf(w, "node\t%s\tzone\t%s\tready\t%t\n", s.Node, s.Zone, s.Ready)
	fmt.Fprintf(w, "held\t%d\thead\t%d\treader\t%t\n\n", s.Held.Version, s.Head.Version, s.Reader)
	printZones(w, s.Zones)
	fmt.Fprintln(w, "\nSERVICE\tZONE\tSERVING\tDRAINING\tSUSPECT\tFAILED")
	for _, e := range s.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", e.Service, e.Zone, e.Serving, e.Draining, e.Suspect, e.Failed)
	}
	if !c.nodes {
		return
	}
	fmt.Fprintln(w, "\nNODE\tZONE\tSTATE\tSERVICE\tDRAINING")
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\n", n.Node, n.Zone, n.State, n.Service, n.Draining)
	}
}
