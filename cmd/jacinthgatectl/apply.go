package main

import (
	"context"
	"flag"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// changeExits is the part of the usage that apply and delete share.
const changeExits = `Exit codes: 0 in force; 3 refused, nothing changed; 4 conflict, another operator
was first, nothing changed; 5 accepted, not yet in force everywhere (missing nodes
and cut-off zones are named); 6 outcome not known: run the same command again with
the printed -change-id; 7 the node did not answer before anything was sent.
`

// applyCmd sends a change and waits until it is in force.
type applyCmd struct{ changeVerb }

func (*applyCmd) Name() string     { return "apply" }
func (*applyCmd) Synopsis() string { return "bring documents into force, all in one version" }
func (*applyCmd) Usage() string {
	return `apply [flags] FILE...
Sends the documents of all files (- is standard input) as one change and waits
until it is in force on every live node; progress goes to standard error.
` + changeExits
}

func (c *applyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
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
	return c.run(ctx, batch)
}

// changeVerb is shared by the verbs that change documents.
type changeVerb struct {
	nodeFlags
	output
	changeID string
	noWait   bool
	timeout  time.Duration
	base     baseFlag
}

func (c *changeVerb) SetFlags(f *flag.FlagSet) {
	c.nodeFlags.register(f)
	c.output.register(f)
	f.StringVar(&c.changeID, "change-id", "", "`id` of the change; give the id of an earlier call to settle it (default: a new one)")
	f.BoolVar(&c.noWait, "no-wait", false, "return once the change is accepted")
	f.DurationVar(&c.timeout, "timeout", defaultWait, "bound on sending the change and on waiting until it is in force")
	f.Var(&c.base, "base", "`KIND/NAME=REVISION` that the change is based on; may be repeated (default: the revision held now)")
}

// defaultWait is the bound on waiting for a change; 8 s is the aim.
const defaultWait = 15 * time.Second

// run sends a change, settles a lost answer and waits until it is in force.
func (c *changeVerb) run(ctx context.Context, batch *model.Batch) subcommands.ExitStatus {
	resend := c.changeID != ""
	if resend && !accept.ValidChangeID(c.changeID) {
		return c.badFlag(&accept.ChangeIDFormatError{ID: c.changeID})
	}
	if err := c.base.check(batch); err != nil {
		return c.badFlag(err)
	}
	client, err := c.client()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	base, err := c.revisions(ctx, client, batch)
	if err != nil {
		return c.fail(err)
	}
	if !resend {
		c.changeID = uuid.NewString()
	}
	c.progressf("sending change %s", c.changeID)
	req := &operator.ApplyRequest{ChangeID: c.changeID, Batch: *batch, Base: base, Resend: resend}
	resp, err := c.send(ctx, client, req)
	if err != nil {
		return c.failChange(err)
	}
	c.progressf("%s: change %s is version %d", acceptedWhen(resp), resp.ChangeID, resp.Version)
	if c.noWait {
		c.print(resp, textOfApply(resp))
		return exitInForce
	}
	return c.wait(ctx, client, resp)
}

func acceptedWhen(r *operator.ApplyResponse) string {
	if r.Repeated {
		return "accepted before"
	}
	return "accepted"
}

func (c *changeVerb) badFlag(err error) subcommands.ExitStatus {
	c.notef("%v", err)
	return exitUsage
}

// revisions returns the base revisions: those given by flag, for the others
// those that the node holds now.
func (c *changeVerb) revisions(ctx context.Context, client *operatorclient.Client, batch *model.Batch) (map[string]uint64, error) {
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
		if revision, given := c.base.revisions[name]; given {
			base[name] = revision
		}
	}
	return base, nil
}

// documentNames returns the keys of all documents that a batch changes.
func documentNames(b *model.Batch) []string {
	var names []string
	for _, c := range b.Contracts {
		names = append(names, contractKey(c.Organisation))
	}
	for _, s := range b.Services {
		names = append(names, serviceKey(s.Name))
	}
	for _, organisation := range b.DeleteContracts {
		names = append(names, contractKey(organisation))
	}
	for _, service := range b.DeleteServices {
		names = append(names, serviceKey(service))
	}
	return names
}

func contractKey(organisation string) string { return operator.KindContract + "/" + organisation }

func serviceKey(service string) string { return operator.KindService + "/" + service }

func documentName(d operator.Document) string {
	if d.Contract != nil {
		return contractKey(d.Contract.Organisation)
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
		return b.bad(s)
	}
	if b.revisions == nil {
		b.revisions = make(map[string]uint64)
	}
	b.revisions[name] = revision
	return nil
}

func (*baseFlag) bad(found string) error {
	return &BadFlagError{Flag: "base", Found: found, Allowed: "contract/NAME=REVISION or service/NAME=REVISION of a document of the change"}
}

// check refuses a base of a document that the change doesn't touch: a mistyped
// name must not leave its document unguarded.
func (b *baseFlag) check(batch *model.Batch) error {
	touched := make(map[string]bool)
	for _, name := range documentNames(batch) {
		touched[name] = true
	}
	for name := range b.revisions {
		if !touched[name] {
			return b.bad(name)
		}
	}
	return nil
}
