package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// The kinds of document on the command line.
const (
	kindContract = "contract"
	kindService  = "service"
)

// readVerb is shared by the verbs that only read.
type readVerb struct {
	nodeFlags
	outputFlag
}

func (v *readVerb) SetFlags(f *flag.FlagSet) {
	v.nodeFlags.register(f)
	v.outputFlag.register(f)
}

// connect checks the flags and returns a client; ok is false after a failure
// has been printed.
func (v *readVerb) connect() (c *operatorclient.Client, status subcommands.ExitStatus, ok bool) {
	if err := v.outputFlag.check(); err != nil {
		return nil, failUsage(err), false
	}
	c, err := v.client()
	if err != nil {
		return nil, fail(err), false
	}
	return c, exitInForce, true
}

// getCmd prints one document.
type getCmd struct{ readVerb }

func (*getCmd) Name() string     { return "get" }
func (*getCmd) Synopsis() string { return "print one document with its revision" }
func (*getCmd) Usage() string {
	return `get [flags] contract|service NAME
Prints the document as JSON, ready to be changed and applied. The revision goes
to standard error; give it to apply as -base KIND/NAME=REVISION.
`
}

func (c *getCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 || !isKind(f.Arg(0)) {
		f.Usage()
		return exitUsage
	}
	client, status, ok := c.connect()
	if !ok {
		return status
	}
	docs, err := client.Documents(ctx, f.Arg(0), f.Arg(1))
	if err != nil {
		return fail(err)
	}
	if c.format == "json" {
		c.print(&docs.Documents[0], nil)
		return exitInForce
	}
	fmt.Fprintf(os.Stderr, "revision %d\n", docs.Documents[0].Revision)
	printDocument(docs.Documents[0])
	return exitInForce
}

func isKind(s string) bool { return s == kindContract || s == kindService }

func printDocument(d operator.Document) {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if d.Contract != nil {
		_ = enc.Encode(d.Contract) // standard output: nobody is left to tell
		return
	}
	_ = enc.Encode(d.Service)
}

// listCmd lists documents.
type listCmd struct{ readVerb }

func (*listCmd) Name() string     { return "list" }
func (*listCmd) Synopsis() string { return "list contracts and services" }
func (*listCmd) Usage() string    { return "list [flags] [contract|service]\n" }

func (c *listCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 1 || f.NArg() == 1 && !isKind(f.Arg(0)) {
		f.Usage()
		return exitUsage
	}
	client, status, ok := c.connect()
	if !ok {
		return status
	}
	docs, err := client.Documents(ctx, f.Arg(0), "")
	if err != nil {
		return fail(err)
	}
	c.print(docs, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "DOCUMENT\tREVISION")
		for _, d := range docs.Documents {
			fmt.Fprintf(w, "%s\t%d\n", documentName(d), d.Revision)
		}
	})
	return exitInForce
}

// historyCmd lists accepted changes.
type historyCmd struct {
	readVerb
	change string
}

func (*historyCmd) Name() string     { return "history" }
func (*historyCmd) Synopsis() string { return "list accepted changes, newest first" }
func (*historyCmd) Usage() string {
	return `history [flags]
Lists the accepted changes. With -change-id it says whether that change was
accepted; exit code 1 if it is not in the history.
`
}

func (c *historyCmd) SetFlags(f *flag.FlagSet) {
	c.readVerb.SetFlags(f)
	f.StringVar(&c.change, "change-id", "", "only this change")
}

func (c *historyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, status, ok := c.connect()
	if !ok {
		return status
	}
	h, err := client.History(ctx, c.change)
	if err != nil {
		return fail(err)
	}
	c.print(h, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "VERSION\tACCEPTED\tCHANGE")
		for _, e := range h.Entries {
			fmt.Fprintf(w, "%d\t%s\t%s\n", e.Version, e.Accepted.Format(time.RFC3339), e.ChangeID)
		}
	})
	return exitInForce
}
