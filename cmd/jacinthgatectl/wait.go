package main

import (
	"context"
	"fmt"
	"os"
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
)

// sendChange sends a change until it has an answer that is certain or ctx ends.
// Sending again is safe: a change id takes effect once.
func sendChange(ctx context.Context, client *operatorclient.Client, req *operator.ApplyRequest) (*operator.ApplyResponse, error) {
	for {
		resp, err := client.Apply(ctx, req)
		if err == nil || certain(err) {
			return resp, err
		}
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

func failChange(changeID string, err error) subcommands.ExitStatus {
	if certain(err) {
		return fail(err)
	}
	fmt.Fprintln(os.Stderr, "jacinthgatectl:", err)
	fmt.Fprintf(os.Stderr, "outcome not known; to settle it run the same command with -change-id %s\n", changeID)
	return exitUnknown
}

// applyResult is what apply prints as JSON.
type applyResult struct {
	operator.ApplyResponse
	Progress operator.Progress `json:"progress"`
}

// waitInForce follows the progress of an accepted change until it is in force
// or ctx ends.
func waitInForce(ctx context.Context, client *operatorclient.Client, resp *operator.ApplyResponse, out *outputFlag) subcommands.ExitStatus {
	last := operator.Progress{Version: resp.Version}
	for {
		p, err := client.Progress(ctx, resp.Version, progressWait)
		if err == nil {
			last = *p
			printProgress(p)
		}
		if last.InForce {
			out.print(&applyResult{*resp, last}, textOfProgress(&last))
			return exitInForce
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			time.Sleep(settlePause)
		}
	}
	out.print(&applyResult{*resp, last}, textOfProgress(&last))
	fmt.Fprintf(os.Stderr, "version %d is accepted but not yet in force everywhere\n", resp.Version)
	return exitPartial
}

// printProgress prints one line: nodes that hold the version, and the missing.
func printProgress(p *operator.Progress) {
	var live, holding uint32
	for _, z := range p.Zones {
		live += z.Live
		if z.Version >= p.Version {
			holding += z.Holding
		}
	}
	fmt.Fprintf(os.Stderr, "version %d: held by %d of %d nodes", p.Version, holding, live)
	for _, z := range p.Zones {
		if z.CutOff {
			fmt.Fprintf(os.Stderr, ", zone %s cut off", z.Zone)
		}
		for _, id := range z.Missing {
			fmt.Fprintf(os.Stderr, ", missing %s", id)
		}
		for _, r := range z.Rejections {
			fmt.Fprintf(os.Stderr, ", refused by %s (%s)", r.Node, r.Reason)
		}
	}
	fmt.Fprintln(os.Stderr)
}

func textOfApply(r *operator.ApplyResponse) func(*tabwriter.Writer) {
	return func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "change\t%s\nversion\t%d\nhash\t%s\n", r.ChangeID, r.Version, r.Hash)
	}
}

func textOfProgress(p *operator.Progress) func(*tabwriter.Writer) {
	return func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version\t%d\tin force\t%t\n", p.Version, p.InForce)
		printZones(w, p.Zones)
	}
}

func printZones(w *tabwriter.Writer, zones []operator.ZoneProgress) {
	fmt.Fprintln(w, "ZONE\tVERSION\tHOLDING\tLIVE\tCUT OFF\tMISSING")
	for _, z := range zones {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%t\t%v\n", z.Zone, z.Version, z.Holding, z.Live, z.CutOff, z.Missing)
	}
}
