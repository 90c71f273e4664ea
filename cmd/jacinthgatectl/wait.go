package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// Pauses of the tool between its calls.
const (
	// settlePause is the pause before a change whose answer was lost is sent
	// again under the same change id.
	settlePause = 300 * time.Millisecond
	// progressWait is how long a node may hold one progress answer.
	progressWait = time.Second
	// lastLook bounds the last look at the progress, after the time to wait:
	// who is missing is told as of then.
	lastLook = 2 * time.Second
)

// send sends a change until it has an answer that is certain or ctx ends.
// Sending again is safe: a change id takes effect once.
func (c *changeVerb) send(ctx context.Context, client *operatorclient.Client, req *operator.ApplyRequest) (*operator.ApplyResponse, error) {
	for {
		resp, err := client.Apply(ctx, req)
		if err == nil || certain(err) {
			return resp, err
		}
		c.progressf("no certain answer, sending the same change again: %v", err)
		req.Resend = true
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(settlePause):
		}
	}
}

// certain reports whether err says for sure that the change was not taken.
func certain(err error) bool {
	var p *operator.Problem
	return errors.As(err, &p) && p.Code != operator.CodeUnknown
}

func (c *changeVerb) failChange(err error) subcommands.ExitStatus {
	f := describe(err)
	f.ChangeID = c.changeID
	if certain(err) {
		return c.report(f)
	}
	f.Exit = exitUnknown
	status := c.report(f)
	c.notef("the outcome is not known; to settle it run the same command with -change-id %s", c.changeID)
	return status
}

// applied is what apply and delete print as JSON.
type applied struct {
	operator.ApplyResponse
	Progress operator.Progress `json:"progress"`
}

// wait follows the progress of an accepted change until it is in force or ctx
// ends.
func (c *changeVerb) wait(ctx context.Context, client *operatorclient.Client, resp *operator.ApplyResponse) subcommands.ExitStatus {
	last := operator.Progress{Version: resp.Version}
	line := ""
	look := func(ctx context.Context, hold time.Duration) error {
		p, err := client.Progress(ctx, resp.Version, hold)
		if err != nil {
			return err
		}
		last = *p
		if next := progressLine(p); next != line {
			line = next
			c.progressf("%s", line)
		}
		return nil
	}
	for !last.InForce && ctx.Err() == nil {
		if look(ctx, progressWait) != nil {
			time.Sleep(settlePause)
		}
	}
	if !last.InForce {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastLook)
		defer cancel()
		_ = look(ctx, 0) // what was seen last is told otherwise
	}
	c.print(&applied{*resp, last}, textOfProgress(&last))
	if last.InForce {
		return exitInForce
	}
	c.notef("version %d is accepted but not yet in force everywhere; it will be without doing anything, see status", resp.Version)
	return exitPartial
}

// progressLine says how many nodes hold the version and names the missing.
func progressLine(p *operator.Progress) string {
	var live, holding uint32
	var notes []string
	for _, z := range p.Zones {
		live += z.Live
		if z.Version >= p.Version {
			holding += z.Holding
		}
		notes = append(notes, zoneNotes(p.Version, z)...)
	}
	line := fmt.Sprintf("version %d: held by %d of %d nodes", p.Version, holding, live)
	return strings.Join(append([]string{line}, notes...), ", ")
}

func zoneNotes(version uint64, z operator.ZoneProgress) []string {
	var notes []string
	switch {
	case z.CutOff:
		notes = append(notes, fmt.Sprintf("zone %s cut off", z.Zone))
	case z.Version < version:
		notes = append(notes, fmt.Sprintf("zone %s reports version %d yet", z.Zone, z.Version))
	}
	for _, id := range z.Missing {
		notes = append(notes, "missing "+string(id))
	}
	for _, r := range z.Rejections {
		notes = append(notes, fmt.Sprintf("refused by %s (%s)", r.Node, r.Reason))
	}
	return notes
}

func textOfApply(r *operator.ApplyResponse) func(*tabwriter.Writer) {
	return func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "change\t%s\nversion\t%d\nhash\t%s\n", r.ChangeID, r.Version, r.Hash)
	}
}

func textOfProgress(p *operator.Progress) func(*tabwriter.Writer) {
	return func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version\t%d\tin force\t%t\n\n", p.Version, p.InForce)
		printZones(w, p.Zones)
	}
}

func printZones(w *tabwriter.Writer, zones []operator.ZoneProgress) {
	fmt.Fprintln(w, "ZONE\tVERSION\tLAG\tHOLDING\tLIVE\tCUT OFF\tREPORT AGE\tMISSING")
	for _, z := range zones {
		age := time.Duration(z.AgeMillis) * time.Millisecond
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%t\t%s\t%s\n",
			z.Zone, z.Version, z.Lag, z.Holding, z.Live, z.CutOff, age, missing(z))
	}
}

// missing names the nodes that don't hold a zone's version.
func missing(z operator.ZoneProgress) string {
	if len(z.Missing) == 0 {
		return "-"
	}
	names := make([]string, len(z.Missing))
	for i, id := range z.Missing {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}
