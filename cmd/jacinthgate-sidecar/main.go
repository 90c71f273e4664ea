// Command jacinthgate-sidecar is the one process of the mesh beside a backend
// server on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/cli"
	"github.com/jacinthgate/jacinthgate/internal/logging"
	"github.com/jacinthgate/jacinthgate/internal/sidecar"
	"github.com/jacinthgate/jacinthgate/internal/signals"
	"github.com/jacinthgate/jacinthgate/internal/version"
)

const program = "jacinthgate-sidecar"

func main() {
	caught := signals.Catch()
	cdr := subcommands.NewCommander(flag.CommandLine, program)
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&runCmd{signals: caught}, "")
	cdr.Register(&cli.CheckCommand{Program: program, Load: func(path string) error {
		_, err := sidecar.Load(path)
		return err
	}}, "")
	cdr.Register(&version.Command{Program: program}, "")
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
Runs the node until SIGTERM, which lets requests in flight finish. SIGHUP reads
the settings again. Nothing starts on bad settings.
`
}

func (c *runCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "JSON settings `file`")
}

// gcPercent lets the heap grow to one and a half times its live size between
// two collections: memory at its peak is paid for, and the heap is small.
const gcPercent = 50

// memoryPart is the part of the process's memory, in percent, near which the
// collector works harder: beyond all of it the process is killed, and bytes in
// the kernel's buffers count too.
const memoryPart = 70

func (c *runCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" {
		fmt.Fprintln(os.Stderr, program+": -settings is required")
		return subcommands.ExitUsageError
	}
	set, err := sidecar.Load(c.settings)
	if err != nil {
		return cli.Fail(program, err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(set.MemoryMB) << 20 * memoryPart / 100)
	out := logging.NewAsync(os.Stdout)
	defer out.Close()
	logger := logging.New(out, set.LogLevel)
	logging.CatchLibraries(logger)
	_ = logger.Log("event", "sidecar_starting", "node", set.Node, "version", version.String())
	n, err := sidecar.New(set, c.settings, sidecar.Logs{
		Lines:   logger,
		Details: logging.New(out.Details(), set.LogLevel),
		State:   logging.New(out.State(), set.LogLevel),
		Dropped: out.Dropped,
	})
	if err != nil {
		return cli.Fail(program, err)
	}
	if err := n.Run(c.signals); err != nil {
		_ = logger.Log("event", "node_failed", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
