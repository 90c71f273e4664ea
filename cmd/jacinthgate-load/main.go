// Command jacinthgate-load offers a planned load to entry proxies on this
// machine, checks what the callers are told against what the stand-ins of the
// backend servers ran, and compares calls through the mesh with direct ones.
//
// It exits with 0 when every promise held, with 1 when one was broken or the
// run failed, and with 2 for a wrong command line.
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
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&compareCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&planCommand{}, "")
	subcommands.Register(&version.Command{Program: "jacinthgate-load"}, "")
	flag.Parse()
	os.Exit(execute())
}

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(subcommands.Execute(ctx))
}
