package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// readExits is the part of the usage that all reading verbs share.
const readExits = "Exit codes: 0 done; 7 the node did not answer or is not ready.\n"

// readVerb is shared by the verbs that change no document.
type readVerb struct {
	nodeFlags
	output
}

func (v *readVerb) SetFlags(f *flag.FlagSet) {
	v.nodeFlags.register(f)
	v.output.register(f)
}

// getCmd prints one document.
type getCmd struct{ readVerb }

func (*getCmd) Name() string     { return "get" }
func (*getCmd) Synopsis() string { return "print one document with its revision" }
func (*getCmd) Usage() string {
	return `get [flags] contract|service NAME
Prints the document as JSON, ready to be changed and applied. The revision goes
to standard error; give it to apply as -base KIND/NAME=REVISION. With -output
json the document and its revision are one object.
Exit codes: 0 done; 8 there is no such document; 7 the node did not answer.
`
}

func (c *getCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	words, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(words) != 2 || !isKind(words[0]) {
		return usage(f)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	docs, err := client.Documents(ctx, words[0], words[1])
	if err != nil {
		return c.fail(err)
	}
	return c.show(docs.Documents[0])
}

func (c *getCmd) show(d operator.Document) subcommands.ExitStatus {
	if c.format == formatJSON {
		c.json(&d)
		return exitInForce
	}
	raw, err := documentJSON(d)
	if err != nil {
		return c.fail(err)
	}
	c.progressf("revision %d", d.Revision)
	_, _ = c.out.Write(raw) // standard output: nobody is left to tell
	return exitInForce
}

func isKind(s string) bool { return s == operator.KindContract || s == operator.KindService }

// listCmd lists documents.
type listCmd struct{ readVerb }

func (*listCmd) Name() string     { return "list" }
func (*listCmd) Synopsis() string { return "list contracts and services" }
func (*listCmd) Usage() string {
	return "list [flags] [contract|service]\nLists the documents in force with their revisions.\n" + readExits
}

func (c *listCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	words, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(words) > 1 || len(words) == 1 && !isKind(words[0]) {
		return usage(f)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	kind := ""
	if len(words) == 1 {
		kind = words[0]
	}
	docs, err := client.Documents(ctx, kind, "")
	if err != nil {
		return c.fail(err)
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
	limit  int
}

func (*historyCmd) Name() string     { return "history" }
func (*historyCmd) Synopsis() string { return "list accepted changes, newest first" }
func (*historyCmd) Usage() string {
	return `history [flags]
Lists the accepted changes. With -change-id it says whether that change was
accepted. Exit codes: 0 done; 8 that change was not accepted so far; 7 the node
did not answer.
`
}

func (c *historyCmd) SetFlags(f *flag.FlagSet) {
	c.readVerb.SetFlags(f)
	f.StringVar(&c.change, "change-id", "", "only the change with this `id`")
	f.IntVar(&c.limit, "limit", operator.MaxHistory, "the largest number of changes")
}

func (c *historyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	words, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(words) > 0 {
		return usage(f)
	}
	if err := c.check(); err != nil {
		c.notef("%v", err)
		return exitUsage
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	h, err := client.History(ctx, c.change, c.limit)
	if err != nil {
		return c.fail(err)
	}
	c.print(h, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "VERSION\tACCEPTED\tCHANGE")
		for _, e := range h.Entries {
			fmt.Fprintf(w, "%d\t%s\t%s\n", e.Version, e.Accepted.Format(time.RFC3339), e.ChangeID)
		}
	})
	return exitInForce
}

func (c *historyCmd) check() error {
	if c.change != "" && !accept.ValidChangeID(c.change) {
		return &accept.ChangeIDFormatError{ID: c.change}
	}
	if c.limit < 1 || c.limit > operator.MaxHistory {
		return &BadFlagError{Flag: "limit", Found: fmt.Sprint(c.limit), Allowed: fmt.Sprintf("1 to %d", operator.MaxHistory)}
	}
	return nil
}
