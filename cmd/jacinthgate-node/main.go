// Command jacinthgate-node is the one process of the mesh on a backend server
// host: entry proxy, gate and distributor.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/logging"
	"github.com/jacinthgate/jacinthgate/internal/node"
	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/internal/version"
)

func main() {
	cdr := subcommands.NewCommander(flag.CommandLine, "jacinthgate-node")
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&runCmd{}, "")
	cdr.Register(&checkCmd{}, "")
	cdr.Register(&version.Command{Program: "jacinthgate-node"}, "")
	flag.Parse()
	os.Exit(int(cdr.Execute(context.Background())))
}

// runCmd runs the node.
type runCmd struct {
	settings string
}

func (*runCmd) Name() string     { return "run" }
func (*runCmd) Synopsis() string { return "run the node" }
func (*runCmd) Usage() string {
	return `run -settings FILE
Runs the node until SIGTERM or SIGINT. The first one lets requests in flight
finish; the second one ends the node at once. Nothing starts on bad settings.
`
}

func (c *runCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "JSON settings `file`")
}

func (c *runCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" {
		fmt.Fprintln(os.Stderr, "jacinthgate-node: -settings is required")
		return subcommands.ExitUsageError
	}
	set, err := settings.LoadNode(c.settings)
	if err != nil {
		return fail(err)
	}
	logger := logging.New(os.Stderr, set.LogLevel)
	logging.CatchLibraries(logger)
	n, err := node.New(set, logger)
	if err != nil {
		return fail(err)
	}
	if err := n.Run(); err != nil {
		_ = logger.Log("event", "node_failed", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "jacinthgate-node:", err)
	return subcommands.ExitFailure
}

// checkCmd checks settings.
type checkCmd struct{}

func (*checkCmd) Name() string     { return "check" }
func (*checkCmd) Synopsis() string { return "check a settings file" }
func (*checkCmd) Usage() string {
	return "check FILE\nPrints every fault of the settings. Exit code 1 if there is one.\n"
}
func (*checkCmd) SetFlags(*flag.FlagSet) {}

func (*checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	if _, err := settings.LoadNode(f.Arg(0)); err != nil {
		return fail(err)
	}
	fmt.Println(f.Arg(0) + ": ok")
	return subcommands.ExitSuccess
}
