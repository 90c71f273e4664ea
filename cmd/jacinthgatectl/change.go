package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

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
Exit codes: 0 no difference; 9 a difference; 3 faults in the files; 7 the node
did not answer.
`
}

func (c *diffCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
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
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	held, err := client.Documents(ctx, "", "")
	if err != nil {
		return c.fail(err)
	}
	diff, err := compare(held, batch)
	if err != nil {
		return c.fail(err)
	}
	c.print(diff, diff.text)
	if len(diff.Differences) > 0 {
		return exitDifferent
	}
	return exitInForce
}

// What a change does to a document.
const (
	doesAdd    = "add"
	doesChange = "change"
	doesDelete = "delete"
)

// difference is what a change does to one document.
type difference struct {
	Document string `json:"document"`
	Does     string `json:"does"`
	// Diff holds the lines that change, as a unified diff.
	Diff string `json:"diff,omitempty"`
}

// differences is what diff prints as JSON.
type differences struct {
	// Version is the version that the files were compared with.
	Version     uint64       `json:"version"`
	Differences []difference `json:"differences"`
}

func (d *differences) text(w *tabwriter.Writer) {
	for _, v := range d.Differences {
		fmt.Fprintf(w, "%s %s\n%s", v.Does, v.Document, v.Diff)
	}
}

// compare returns a difference for each document that the batch changes.
func compare(held *operator.Documents, batch *model.Batch) (*differences, error) {
	d := &differences{Version: held.Version, Differences: []difference{}}
	now := make(map[string][]byte)
	for _, doc := range held.Documents {
		raw, err := documentJSON(doc)
		if err != nil {
			return nil, err
		}
		now[documentName(doc)] = raw
	}
	for _, doc := range documentsOf(batch) {
		raw, err := documentJSON(doc)
		if err != nil {
			return nil, err
		}
		d.put(documentName(doc), now[documentName(doc)], raw)
	}
	for _, name := range batch.DeleteContracts {
		d.add(contractKey(name), doesDelete, "")
	}
	for _, name := range batch.DeleteServices {
		d.add(serviceKey(name), doesDelete, "")
	}
	return d, nil
}

func (d *differences) put(name string, old, raw []byte) {
	switch {
	case old == nil:
		d.add(name, doesAdd, "+"+strings.ReplaceAll(strings.TrimSuffix(string(raw), "\n"), "\n", "\n+")+"\n")
	case !bytes.Equal(old, raw):
		d.add(name, doesChange, udiff.Unified("held", "applied", string(old), string(raw)))
	}
}

func (d *differences) add(name, does, diff string) {
	d.Differences = append(d.Differences, difference{Document: name, Does: does, Diff: diff})
}

func documentsOf(b *model.Batch) []operator.Document {
	var docs []operator.Document
	for _, c := range b.Contracts {
		docs = append(docs, operator.Document{Contract: c})
	}
	for _, s := range b.Services {
		docs = append(docs, operator.Document{Service: s})
	}
	return docs
}

// documentJSON returns a document as an operator writes it.
func documentJSON(d operator.Document) ([]byte, error) {
	var v any = d.Service
	if d.Contract != nil {
		v = d.Contract
	}
	raw, err := json.MarshalIndent(v, "", "  ")
	return append(raw, '\n'), err
}

// deleteCmd deletes documents.
type deleteCmd struct{ changeVerb }

func (*deleteCmd) Name() string     { return "delete" }
func (*deleteCmd) Synopsis() string { return "delete documents, all in one version" }
func (*deleteCmd) Usage() string {
	return `delete [flags] contract|service NAME...
Deletes documents and waits like apply. A service that a route still names is
refused.
` + changeExits
}

func (c *deleteCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	words, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(words) < 2 || !isKind(words[0]) {
		return usage(f)
	}
	batch := new(model.Batch)
	if words[0] == operator.KindContract {
		batch.DeleteContracts = words[1:]
	} else {
		batch.DeleteServices = words[1:]
	}
	if err := batch.Validate(); err != nil {
		return c.fail(FileErrors{{File: "command line", Err: err}})
	}
	return c.run(ctx, batch)
}
