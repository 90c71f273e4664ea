// Command jacinthgatectl is the operator's tool: it validates, applies and
// reads contracts and services, shows how far the fleet is with a change, takes
// backend servers out of service and makes a site's keys.
package main

import (
	"context"
	"flag"
	"io"
	"os"
	"slices"

	"github.com/google/subcommands"
)

func main() {
	os.Exit(int(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)))
}

// run runs one command line. What was asked for goes to stdout, all else to
// stderr.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) subcommands.ExitStatus {
	top := flag.NewFlagSet("jacinthgatectl", flag.ContinueOnError)
	top.SetOutput(stderr)
	cdr := subcommands.NewCommander(top, "jacinthgatectl")
	cdr.Output, cdr.Error = stdout, stderr
	o := output{out: stdout, err: stderr}
	verbs := append(commands(o), cdr.HelpCommand())
	for _, v := range verbs {
		cdr.Register(v, "")
	}
	if top.Parse(helpFirst(args)) != nil { // it prints the fault
		return exitUsage
	}
	named := func(v subcommands.Command) bool { return v.Name() == top.Arg(0) }
	if top.NArg() > 0 && !slices.ContainsFunc(verbs, named) {
		o.notef("there is no verb %q", top.Arg(0))
	}
	return cdr.Execute(ctx)
}

// helpFirst turns "VERB ... -help" into "help VERB" and "-help" into "help",
// which print to standard output.
func helpFirst(args []string) []string {
	asksHelp := func(s string) bool { return slices.Contains([]string{"-h", "-help", "--help"}, s) }
	if len(args) > 0 && asksHelp(args[0]) {
		return []string{"help"}
	}
	if len(args) > 1 && slices.ContainsFunc(args[1:], asksHelp) {
		return []string{"help", args[0]}
	}
	return args
}

func commands(o output) []subcommands.Command {
	read := readVerb{output: o}
	change := changeVerb{output: o}
	return []subcommands.Command{
		&validateCmd{output: o},
		&applyCmd{change},
		&getCmd{read},
		&listCmd{read},
		&historyCmd{readVerb: read},
		&diffCmd{read},
		&deleteCmd{change},
		&statusCmd{readVerb: read},
		&drainCmd{readVerb: read, drain: true},
		&drainCmd{readVerb: read, drain: false},
		&keysCmd{output: o},
		&versionCmd{output: o},
	}
}
