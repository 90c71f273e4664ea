package main

import (
	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/internal/settings"
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
	// exitUnreachable: the node did not answer, or is not ready; nothing was
	// changed.
	exitUnreachable subcommands.ExitStatus = 7
	// exitNotFound: there is no such document, change or node.
	exitNotFound subcommands.ExitStatus = 8
	// exitDifferent: diff found a difference.
	exitDifferent subcommands.ExitStatus = 9
)

// outcomes name the exit codes in JSON.
var outcomes = map[subcommands.ExitStatus]string{
	exitFailure:     "failed",
	exitUsage:       "usage",
	exitRefused:     "refused",
	exitConflict:    "conflict",
	exitPartial:     "not-yet-in-force",
	exitUnknown:     "unknown",
	exitUnreachable: "unreachable",
	exitNotFound:    "not-found",
}

// failure is what a verb that failed prints as JSON.
type failure struct {
	Exit    subcommands.ExitStatus `json:"exit"`
	Outcome string                 `json:"outcome"`
	Message string                 `json:"message"`
	// ChangeID settles an unknown outcome.
	ChangeID string `json:"changeId,omitempty"`
	// Document and Revision name the document in conflict.
	Document string  `json:"document,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Faults   []fault `json:"faults,omitempty"`
}

// fail prints err and returns its exit code.
func (o *output) fail(err error) subcommands.ExitStatus { return o.report(describe(err)) }

func (o *output) report(f *failure) subcommands.ExitStatus {
	f.Outcome = outcomes[f.Exit]
	o.notef("%s", f.Message)
	for _, fault := range f.Faults {
		o.progressf("  %s", fault)
	}
	if o.format == formatJSON {
		o.json(f)
	}
	return f.Exit
}

// describe classifies an error.
func describe(err error) *failure {
	f := &failure{Exit: exitFailure, Message: err.Error()}
	var files FileErrors
	var flagValue *BadFlagError
	var file *settings.FileError
	var flags strictjson.Faults
	var unreachable *operatorclient.UnreachableError
	var p *operator.Problem
	switch {
	case errors.As(err, &files):
		f.Message = "the documents can't be used"
		f.Faults = files.faults()
		if !files.unreadable() {
			f.Exit = exitRefused
		}
	case errors.As(err, &flagValue):
		f.Exit = exitUsage
	case errors.As(err, &file) && errors.As(err, &flags):
		f.Message = "the settings have faults"
		f.Faults = FileErrors{{File: file.Path, Err: flags}}.faults()
	case errors.As(err, &flags):
		f.Message = "the settings have faults"
		f.Faults = FileErrors{{File: "command line", Err: flags}}.faults()
	case errors.As(err, &unreachable):
		f.Exit = exitUnreachable
	case errors.As(err, &p):
		f.Exit, f.Message = exitOf(p.Code), p.Message
		f.Document, f.Revision = p.Document, p.Revision
		for _, v := range p.Faults {
			f.Faults = append(f.Faults, fault{Path: v.Path, Found: v.Found, Allowed: v.Allowed})
		}
	}
	return f
}

func exitOf(code operator.Code) subcommands.ExitStatus {
	switch code {
	case operator.CodeInvalid, operator.CodeRefused, operator.CodeMalformed:
		return exitRefused
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeUnknown:
		return exitUnknown
	case operator.CodeNotReady:
		return exitUnreachable
	case operator.CodeNotFound:
		return exitNotFound
	default:
		return exitFailure
	}
}
