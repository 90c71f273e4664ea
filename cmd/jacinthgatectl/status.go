package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// statusCmd shows versions, lag, cut-off zones and endpoints.
type statusCmd struct {
	readVerb
	nodes bool
}

func (*statusCmd) Name() string     { return "status" }
func (*statusCmd) Synopsis() string { return "show versions held, lag, cut-off zones and endpoints" }
func (*statusCmd) Usage() string    { return "status [flags]\n" }

func (c *statusCmd) SetFlags(f *flag.FlagSet) {
	c.readVerb.SetFlags(f)
	f.BoolVar(&c.nodes, "nodes", false, "list every node")
}

func (c *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, status, ok := c.connect()
	if !ok {
		return status
	}
	s, err := client.Status(ctx)
	if err != nil {
		return fail(err)
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

// drainCmd is both verbs drain and undrain.
type drainCmd struct {
	nodeFlags
	drain bool
}

func (c *drainCmd) Name() string {
	if c.drain {
		return "drain"
	}
	return "undrain"
}

func (c *drainCmd) Synopsis() string {
	if c.drain {
		return "take a node's backend server out of service"
	}
	return "put a node's backend server back into service"
}

func (c *drainCmd) Usage() string { return c.Name() + " [flags] NODE\n" }

func (c *drainCmd) SetFlags(f *flag.FlagSet) { c.nodeFlags.register(f) }

func (c *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return exitUsage
	}
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	req := &operator.DrainRequest{Node: model.NodeID(f.Arg(0)), Drain: c.drain}
	if err := client.Drain(ctx, req); err != nil {
		return fail(err)
	}
	fmt.Printf("%s: %s\n", f.Arg(0), c.Name())
	return exitInForce
}
