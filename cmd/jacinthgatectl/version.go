package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/version"
)

// versionCmd prints the version.
type versionCmd struct{}

func (*versionCmd) Name() string           { return "version" }
func (*versionCmd) Synopsis() string       { return "print the version" }
func (*versionCmd) Usage() string          { return "version\n" }
func (*versionCmd) SetFlags(*flag.FlagSet) {}

func (*versionCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("jacinthgatectl", version.String())
	return exitInForce
}
