// Package cli holds what the daemons' command lines have in common.
package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Fail reports an error of a program on standard error.
func Fail(program string, err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, program+":", err)
	return subcommands.ExitFailure
}

// CheckCommand is the verb that checks a settings file.
type CheckCommand struct {
	// Program is the program's name.
	Program string
	// Load reads the file and reports its faults.
	Load func(path string) error
}

// Name implements subcommands.Command.
func (*CheckCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*CheckCommand) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*CheckCommand) Usage() string {
	return "check FILE\nPrints the faults of the settings. Exit code 1 if there is one.\n"
}

// SetFlags implements subcommands.Command.
func (*CheckCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *CheckCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	if err := c.Load(f.Arg(0)); err != nil {
		return Fail(c.Program, err)
	}
	fmt.Fprintln(os.Stdout, f.Arg(0)+": ok")
	return subcommands.ExitSuccess
}
