// Command jacinthgate-measure measures the control plane with fleets of real
// processes on loopback and with the decision cores alone, and writes the
// figures into the documentation. It is a tool of the project's developers.
//
// It exits with 0 when everything was measured, with 1 when a run failed, and
// with 2 for a wrong command line.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/version"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&controlCommand{name: "control"}, "")
	subcommands.Register(&controlCommand{name: "baseline", baseline: true}, "")
	subcommands.Register(&churnCommand{}, "")
	subcommands.Register(&coresCommand{}, "")
	subcommands.Register(&requestsCommand{}, "")
	subcommands.Register(&requestsCommand{policies: true}, "")
	subcommands.Register(&pageCommand{}, "")
	subcommands.Register(&version.Command{Program: "jacinthgate-measure"}, "")
	flag.Parse()
	os.Exit(execute())
}

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(subcommands.Execute(ctx))
}
