// Command jacinthgate-vary writes site files that nobody has seen, made from one
// that is given. It is a tool for developers; docs/DECISIONS.md tells how its
// sites are used.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/vary"
	"github.com/jacinthgate/jacinthgate/internal/version"
)

const program = "jacinthgate-vary"

func main() {
	cdr := subcommands.NewCommander(flag.CommandLine, program)
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&siteCmd{}, "")
	cdr.Register(&version.Command{Program: program}, "")
	flag.Parse()
	os.Exit(int(cdr.Execute(context.Background())))
}

// siteCmd writes one site file.
type siteCmd struct {
	in, out string
	seed    uint64
}

func (*siteCmd) Name() string     { return "site" }
func (*siteCmd) Synopsis() string { return "write a site file varied by a seed" }
func (*siteCmd) Usage() string {
	return "site -in FILE -out FILE -seed N\n  The same file and seed give the same site.\n"
}

func (c *siteCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.in, "in", "", "the site file to vary")
	f.StringVar(&c.out, "out", "", "the file to write")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the variation")
}

func (c *siteCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.in == "" || c.out == "" {
		fmt.Fprintln(os.Stderr, "site: -in and -out are needed")
		return subcommands.ExitUsageError
	}
	if err := c.write(); err != nil {
		fmt.Fprintln(os.Stderr, "site:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *siteCmd) write() error {
	var site vary.Site
	if _, err := toml.DecodeFile(c.in, &site); err != nil {
		return err
	}
	vary.Apply(site, c.seed)
	f, err := os.Create(c.out)
	if err != nil {
		return err
	}
	if err := toml.NewEncoder(f).Encode(site); err != nil {
		_ = f.Close() // the first error is the one to tell
		return err
	}
	return f.Close()
}
