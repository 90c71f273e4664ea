package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/aymanbagabas/go-udiff"
	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// diffCmd shows what a change would do.
type diffCmd struct{ readVerb }

func (*diffCmd) Name() string     { return "diff" }
func (*diffCmd) Synopsis() string { return "show what applying files would change" }
func (*diffCmd) Usage() string {
	return `diff [flags] FILE...
Prints each document that applying the files would add, change or delete.
Exit code 0 without a difference, 1 with one.
`
}

func (c *diffCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return exitUsage
	}
	client, status, ok := c.connect()
	if !ok {
		return status
	}
	batch, err := readBatches(f.Args())
	if err != nil {
		return fail(err)
	}
	held, err := client.Documents(ctx, "", "")
	if err != nil {
		return fail(err)
	}
	rows, err := differences(held, batch)
	if err != nil {
		return fail(err)
	}
	for _, row := range rows {
		fmt.Println(row)
	}
	if len(rows) > 0 {
		return exitFailure
	}
	return exitInForce
}

// differences returns one row for each document that the batch changes.
func differences(held *operator.Documents, batch *model.Batch) ([]string, error) {
	now := make(map[string][]byte)
	for _, d := range held.Documents {
		raw, err := documentJSON(d.Contract, d.Service)
		if err != nil {
			return nil, err
		}
		now[documentName(d)] = raw
	}
	var rows []string
	add := func(name string, raw []byte) {
		switch old, exists := now[name]; {
		case !exists:
			rows = append(rows, "+ "+name+"\n"+string(raw))
		case !bytes.Equal(old, raw):
			rows = append(rows, "~ "+name+"\n"+udiff.Unified("held", "applied", string(old)+"\n", string(raw)+"\n"))
		}
	}
	for _, c := range batch.Contracts {
		raw, err := documentJSON(c, nil)
		if err != nil {
			return nil, err
		}
		add(contractKey(c.Customer), raw)
	}
	for _, v := range batch.Services {
		raw, err := documentJSON(nil, v)
		if err != nil {
			return nil, err
		}
		add(serviceKey(v.Name), raw)
	}
	for _, name := range batch.DeleteContracts {
		rows = append(rows, "- "+contractKey(name))
	}
	for _, name := range batch.DeleteServices {
		rows = append(rows, "- "+serviceKey(name))
	}
	return rows, nil
}

func documentJSON(c *model.Contract, s *model.Service) ([]byte, error) {
	if c != nil {
		return json.MarshalIndent(c, "", "  ")
	}
	return json.MarshalIndent(s, "", "  ")
}

// deleteCmd deletes documents.
type deleteCmd struct {
	nodeFlags
	outputFlag
	changeFlags
}

func (*deleteCmd) Name() string     { return "delete" }
func (*deleteCmd) Synopsis() string { return "delete documents, all in one version" }
func (*deleteCmd) Usage() string {
	return `delete [flags] contract|service NAME...
Deletes documents. A service that a route still names is refused. Exit codes as
for apply.
`
}

func (c *deleteCmd) SetFlags(f *flag.FlagSet) {
	c.nodeFlags.register(f)
	c.outputFlag.register(f)
	c.changeFlags.register(f)
}

func (c *deleteCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 || !isKind(f.Arg(0)) {
		f.Usage()
		return exitUsage
	}
	if err := c.outputFlag.check(); err != nil {
		return failUsage(err)
	}
	batch := new(model.Batch)
	if f.Arg(0) == kindContract {
		batch.DeleteContracts = f.Args()[1:]
	} else {
		batch.DeleteServices = f.Args()[1:]
	}
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	return c.run(ctx, client, batch, &c.outputFlag)
}
