// Command jacinthgate-node is the one process of the mesh on a backend server
// host: entry proxy, gate and distributor.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/cli"
	"github.com/jacinthgate/jacinthgate/internal/logging"
	"github.com/jacinthgate/jacinthgate/internal/node"
	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/internal/signals"
	"github.com/jacinthgate/jacinthgate/internal/version"
)

func main() {
	caught := signals.Catch()
	cdr := subcommands.NewCommander(flag.CommandLine, "jacinthgate-node")
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&runCmd{signals: caught}, "")
	cdr.Register(&cli.CheckCommand{Program: "jacinthgate-node", Load: func(path string) error {
		_, err := settings.LoadNode(path)
		return err
	}}, "")
	cdr.Register(&version.Command{Program: "jacinthgate-node"}, "")
	flag.Parse()
	os.Exit(int(cdr.Execute(context.Background())))
}

// runCmd runs the node.
type runCmd struct {
	settings string
	signals  *signals.Signals
}

func (*runCmd) Name() string     { return "run" }
func (*runCmd) Synopsis() string { return "run the node" }
func (*runCmd) Usage() string {
	return `run -settings FILE
Runs the node until SIGTERM or SIGINT. The first one lets requests in flight
finish; the second one ends the node at once. SIGHUP changes nothing. Nothing
starts on bad settings.
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
		return cli.Fail("jacinthgate-node", err)
	}
	out := logging.NewAsync(os.Stderr)
	defer out.Close()
	logger := logging.New(out, set.LogLevel)
	logging.CatchLibraries(logger)
	n, err := node.New(set, logger, out.Dropped)
	if err != nil {
		return cli.Fail("jacinthgate-node", err)
	}
	if err := n.Run(c.signals); err != nil {
		_ = logger.Log("event", "node_failed", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
