package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/measure"
)

// defaultOut is where reports are kept, from the project's root.
const defaultOut = "docs/measurements"

// options are the flags of all commands that start fleets.
type options struct {
	bin       string
	logs      string
	out       string
	nodes     string
	contracts int
	idle      time.Duration
}

func (o *options) set(f *flag.FlagSet, nodes string, contracts int) {
	f.StringVar(&o.bin, "bin", "bin", "`directory` of the binaries")
	f.StringVar(&o.logs, "logs", "", "`directory` for settings and logs; empty makes one and removes it")
	f.StringVar(&o.out, "out", defaultOut, "`directory` of the reports; empty keeps none")
	f.StringVar(&o.nodes, "nodes", nodes, "sizes of the fleets, comma-separated; one fleet runs at a time")
	f.IntVar(&o.contracts, "contracts", contracts, "number of contracts")
	f.DurationVar(&o.idle, "idle", 30*time.Second, "how long the idle fleet is watched")
}

// sizes returns the sizes of the fleets.
func (o *options) sizes() ([]int, error) {
	var sizes []int
	for _, text := range strings.Split(o.nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// directory returns the directory for a fleet's logs and what removes it.
func (o *options) directory(fleet string) (string, func(), error) {
	if o.logs == "" {
		dir, err := os.MkdirTemp("", "jacinthgate-measure-")
		return dir, func() { _ = os.RemoveAll(dir) }, err // only logs are left behind
	}
	dir := filepath.Join(o.logs, fleet)
	return dir, func() {}, os.MkdirAll(dir, 0o755)
}

// zonesFor returns the number of zones of a fleet.
func zonesFor(nodes int) int {
	switch {
	case nodes < 100:
		return 3
	case nodes < 200:
		return 5
	default:
		return 7
	}
}

// commandLine is the command as it was given.
func commandLine() string {
	return strings.Join(append([]string{filepath.Base(os.Args[0])}, os.Args[1:]...), " ")
}

// finish prints the report and keeps it.
func finish(r *measure.Report, out, name string) error {
	fmt.Print(r.Tables())
	if out == "" {
		return nil
	}
	return r.Save(out, name)
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "jacinthgate-measure:", err)
	return subcommands.ExitFailure
}
