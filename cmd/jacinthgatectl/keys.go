package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/transport/security"
)

// Default validities of certificates.
const (
	authorityValidity   = 5 * 365 * 24 * time.Hour
	certificateValidity = 90 * 24 * time.Hour
)

// keysCmd makes a site's certificate authority and certificates.
type keysCmd struct {
	output
	dir      string
	out      string
	validity time.Duration
}

func (*keysCmd) Name() string     { return "keys" }
func (*keysCmd) Synopsis() string { return "make a site's certificate authority and certificates" }
func (*keysCmd) Usage() string {
	return `keys [flags] init SITE            create the authority in -dir
keys [flags] node NODE            issue a node's certificate into -out
keys [flags] operator NAME        issue an operator's certificate into -out
keys [flags] show FILE            describe the certificates of a PEM file
The authority's key stays in -dir, which belongs to the operators; hosts get the
files of -out only. Exit codes: 0 done; 1 a file can't be read or written.
`
}

func (c *keysCmd) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	f.StringVar(&c.dir, "dir", "ca", "`directory` of the certificate authority")
	f.StringVar(&c.out, "out", "", "`directory` for an issued certificate (default: the name)")
	f.DurationVar(&c.validity, "validity", 0, "validity (default: 5 years for an authority, 90 days otherwise)")
}

func (c *keysCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	words, ok := c.parse(f)
	if !ok {
		return exitUsage
	}
	if len(words) != 2 {
		return usage(f)
	}
	verb, name := words[0], words[1]
	if c.out == "" {
		c.out = name
	}
	var err error
	switch verb {
	case "init":
		err = security.InitAuthority(c.dir, name, c.validityOr(authorityValidity))
		c.out, verb = c.dir, "authority"
	case "node":
		err = security.IssueNode(c.dir, name, c.out, c.validityOr(certificateValidity))
	case "operator":
		err = security.IssueOperator(c.dir, name, c.out, c.validityOr(certificateValidity))
	case "show":
		return c.show(name)
	default:
		return usage(f)
	}
	if err != nil {
		return c.fail(err)
	}
	i := &issued{Kind: verb, Name: name, Directory: c.out}
	c.print(i, func(w *tabwriter.Writer) { fmt.Fprintf(w, "%s %s: %s\n", i.Kind, i.Name, i.Directory) })
	return exitInForce
}

// issued is what keys prints as JSON after it made files.
type issued struct {
	Kind      string `json:"kind"`
	Name      string `json:"name"`
	Directory string `json:"directory"`
}

func (c *keysCmd) validityOr(d time.Duration) time.Duration {
	if c.validity > 0 {
		return c.validity
	}
	return d
}

func (c *keysCmd) show(file string) subcommands.ExitStatus {
	infos, err := security.Describe(file)
	if err != nil {
		return c.fail(err)
	}
	c.print(infos, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SUBJECT\tROLE\tNAME\tAUTHORITY\tVALID UNTIL")
		for _, i := range infos {
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\n", i.Subject, i.Role, i.Name, i.Authority, i.NotAfter.Format(time.RFC3339))
		}
	})
	return exitInForce
}
