// Command jacinthgatectl is the operator's tool: it validates, applies and
// reads contracts and services, shows how far the fleet is with a change, takes
// backend servers out of service and makes a site's keys.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	cdr := subcommands.NewCommander(flag.CommandLine, "jacinthgatectl")
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(cdr.FlagsCommand(), "")
	cdr.Register(cdr.CommandsCommand(), "")
	for _, c := range commands() {
		cdr.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(cdr.Execute(context.Background())))
}

func commands() []subcommands.Command {
	return []subcommands.Command{
		&validateCmd{},
		&applyCmd{},
		&getCmd{},
		&listCmd{},
		&historyCmd{},
		&diffCmd{},
		&deleteCmd{},
		&statusCmd{},
		&drainCmd{drain: true},
		&drainCmd{drain: false},
		&keysCmd{},
		&versionCmd{},
	}
}
