package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// applyCmd sends a change and waits until it is in force.
type applyCmd struct {
	nodeFlags
	outputFlag
	changeFlags
}

func (*applyCmd) Name() string     { return "apply" }
func (*applyCmd) Synopsis() string { return "bring documents into force, all in one version" }
func (*applyCmd) Usage() string {
	return `apply [flags] FILE...
Sends the documents of all files as one change and waits until it is in force on
every live node. Exit codes: 0 in force; 3 refused; 4 conflict (another operator
was first); 5 accepted, not yet in force everywhere (missing nodes and cut-off
zones are named); 6 outcome not known: run it again with the printed -change-id.
`
}

func (c *applyCmd) SetFlags(f *flag.FlagSet) {
	c.nodeFlags.register(f)
	c.outputFlag.register(f)
	c.changeFlags.register(f)
}

func (c *applyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return exitUsage
	}
	if err := c.outputFlag.check(); err != nil {
		return failUsage(err)
	}
	batch, err := readBatches(f.Args())
	if err != nil {
		return fail(err)
	}
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	return c.run(ctx, client, batch, &c.outputFlag)
}

func failUsage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "jacinthgatectl:", err)
	return exitUsage
}

// changeFlags are the flags of the verbs that change documents.
type changeFlags struct {
	changeID string
	noWait   bool
	timeout  time.Duration
	base     baseFlag
}

func (c *changeFlags) register(f *flag.FlagSet) {
	f.StringVar(&c.changeID, "change-id", "", "`id` of the change; give the id of an earlier call to settle it (default: a new one)")
	f.BoolVar(&c.noWait, "no-wait", false, "return once the change is accepted")
	f.DurationVar(&c.timeout, "timeout", defaultWait, "how long to wait until the change is in force")
	f.Var(&c.base, "base", "`KIND/NAME=REVISION` that the change is based on; may be repeated (default: the revision held now)")
}

// defaultWait is the bound on waiting for a change; 8 s is the aim.
const defaultWait = 15 * time.Second

// run sends a change, settles a lost answer and waits until it is in force.
func (c *changeFlags) run(ctx context.Context, client *operatorclient.Client, batch *model.Batch, out *outputFlag) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resend := c.changeID != ""
	if !resend {
		c.changeID = uuid.NewString()
	}
	base, err := c.revisions(ctx, client, batch)
	if err != nil {
		return fail(err)
	}
	req := &operator.ApplyRequest{ChangeID: c.changeID, Batch: *batch, Base: base, Resend: resend}
	resp, err := sendChange(ctx, client, req)
	if err != nil {
		return failChange(c.changeID, err)
	}
	fmt.Fprintf(os.Stderr, "accepted: change %s is version %d\n", resp.ChangeID, resp.Version)
	if c.noWait {
		out.print(resp, textOfApply(resp))
		return exitInForce
	}
	return waitInForce(ctx, client, resp, out)
}

// revisions returns the base revisions: those given by flag, for the others
// those that the node holds now.
func (c *changeFlags) revisions(ctx context.Context, client *operatorclient.Client, batch *model.Batch) (map[string]uint64, error) {
	held, err := client.Documents(ctx, "", "")
	if err != nil {
		return nil, err
	}
	known := make(map[string]uint64, len(held.Documents))
	for _, d := range held.Documents {
		known[documentName(d)] = d.Revision
	}
	base := make(map[string]uint64)
	for _, name := range documentNames(batch) {
		base[name] = known[name]
	}
	for name, revision := range c.base.revisions {
		base[name] = revision
	}
	return base, nil
}

// documentNames returns the keys of all documents that a batch changes.
func documentNames(b *model.Batch) []string {
	var names []string
	for _, c := range b.Contracts {
		names = append(names, contractKey(c.Customer))
	}
	for _, s := range b.Services {
		names = append(names, serviceKey(s.Name))
	}
	for _, customer := range b.DeleteContracts {
		names = append(names, contractKey(customer))
	}
	for _, service := range b.DeleteServices {
		names = append(names, serviceKey(service))
	}
	return names
}

func contractKey(customer string) string { return kindContract + "/" + customer }

func serviceKey(service string) string { return kindService + "/" + service }

func documentName(d operator.Document) string {
	if d.Contract != nil {
		return contractKey(d.Contract.Customer)
	}
	return serviceKey(d.Service.Name)
}

// baseFlag collects KIND/NAME=REVISION.
type baseFlag struct {
	revisions map[string]uint64
}

// String implements flag.Value.
func (b *baseFlag) String() string { return "" }

// Set implements flag.Value.
func (b *baseFlag) Set(s string) error {
	name, number, found := strings.Cut(s, "=")
	revision, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil {
		return &BadFlagError{Flag: "base", Found: s, Allowed: "contract/NAME=REVISION or service/NAME=REVISION"}
	}
	if b.revisions == nil {
		b.revisions = make(map[string]uint64)
	}
	b.revisions[name] = revision
	return nil
}
