package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// drainCmd is both verbs drain and undrain.
type drainCmd struct {
	readVerb
	drain   bool
	noWait  bool
	timeout time.Duration
}

// Name implements subcommands.Command.
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

func (c *drainCmd) Usage() string {
	return c.Name() + ` [flags] NODE
Tells the node and waits until the asked node's record of it says so; the others
learn of it within seconds. Running it again is safe. Exit codes: 0 done; 3 the
node has no backend server; 5 told, but not yet seen in the record; 6 the node
did not answer: run it again; 7 the asked node did not answer; 8 no such node.
`
}

func (c *drainCmd) SetFlags(f *flag.FlagSet) {
	c.readVerb.SetFlags(f)
	f.BoolVar(&c.noWait, "no-wait", false, "return once the node was told")
	f.DurationVar(&c.timeout, "timeout", defaultWait, "bound on the whole")
}

func (c *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	words, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(words) != 1 {
		return usage(f)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	node := model.NodeID(words[0])
	if err := client.Drain(ctx, &operator.DrainRequest{Node: node, Drain: c.drain}); err != nil {
		return c.fail(err)
	}
	seen := c.noWait || c.await(ctx, client, node)
	d := &drained{Node: node, Draining: c.drain, Seen: seen && !c.noWait}
	c.print(d, d.text)
	if !seen {
		c.notef("node %s was told; the asked node's record of it does not say so yet", node)
		return exitPartial
	}
	return exitInForce
}

// drained is what drain and undrain print as JSON.
type drained struct {
	Node     model.NodeID `json:"node"`
	Draining bool         `json:"draining"`
	// Seen says that the asked node's record of the node says so.
	Seen bool `json:"seen"`
}

func (d *drained) text(w *tabwriter.Writer) {
	state := "in service"
	if d.Draining {
		state = "draining"
	}
	fmt.Fprintf(w, "node\t%s\t%s\n", d.Node, state)
}

// await waits until the record of the node says what was asked for.
func (c *drainCmd) await(ctx context.Context, client *operatorclient.Client, node model.NodeID) bool {
	for {
		s, err := client.Status(ctx)
		if err == nil && c.says(s, node) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(settlePause):
		}
	}
}

func (c *drainCmd) says(s *operator.Status, node model.NodeID) bool {
	for _, n := range s.Nodes {
		if n.Node == node {
			return n.Draining == c.drain
		}
	}
	return false
}
