package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// Exit codes. They are part of the tool's interface: see docs/OPERATIONS.md.
const (
	// exitInForce: done; a change is in force on every node.
	exitInForce = subcommands.ExitSuccess
	// exitFailure: a failure outside the change, such as an unreadable file.
	exitFailure = subcommands.ExitFailure
	// exitUsage: the command's words are off.
	exitUsage = subcommands.ExitUsageError
	// exitRefused: the change was refused; nothing was changed.
	exitRefused subcommands.ExitStatus = 3
	// exitConflict: another operator was first; nothing was changed.
	exitConflict subcommands.ExitStatus = 4
	// exitPartial: accepted, but not yet in force everywhere.
	exitPartial subcommands.ExitStatus = 5
	// exitUnknown: the change may have been accepted; apply it again with the
	// same change id to settle it.
	exitUnknown subcommands.ExitStatus = 6
	// exitUnreachable: the node did not answer a call that changes nothing.
	exitUnreachable subcommands.ExitStatus = 7
)

// fail prints err to standard error and returns its exit code.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "jacinthgatectl:", err)
	var faults strictjson.Faults
	if errors.As(err, &faults) {
		return exitRefused
	}
	var unreachable *operatorclient.UnreachableError
	if errors.As(err, &unreachable) {
		return exitUnreachable
	}
	var p *operator.Problem
	if errors.As(err, &p) {
		printFaults(p.Faults)
		return exitOf(p.Code)
	}
	return exitFailure
}

func printFaults(faults []operator.Fault) {
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "  %s: found %s, allowed: %s\n", f.Path, f.Found, f.Allowed)
	}
}

func exitOf(code operator.Code) subcommands.ExitStatus {
	switch code {
	case operator.CodeInvalid, operator.CodeRefused, operator.CodeMalformed:
		return exitRefused
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeUnknown:
		return exitUnknown
	default:
		return exitFailure
	}
}
