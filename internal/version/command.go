package version

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Command is the verb "version" of a program with verbs.
type Command struct {
	// Program is the program's name.
	Program string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "version\n" }

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	write(os.Stdout, c.Program)
	return subcommands.ExitSuccess
}

// ParseFlags parses the command line of a program without verbs. With -version
// it prints the version and ends the program.
func ParseFlags(program string) {
	show := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *show {
		write(os.Stdout, program)
		os.Exit(0)
	}
}

func write(w io.Writer, program string) {
	_, _ = fmt.Fprintln(w, program, String()) // standard output: nobody is left to tell
}
