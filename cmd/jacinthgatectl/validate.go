package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// validateCmd checks documents without a node.
type validateCmd struct{}

func (*validateCmd) Name() string     { return "validate" }
func (*validateCmd) Synopsis() string { return "check documents without a node" }
func (*validateCmd) Usage() string {
	return `validate FILE...
Checks contracts, services and batches. Prints every fault with its path, what
was found and what is allowed. Exit code 3 if there is one.
`
}
func (*validateCmd) SetFlags(*flag.FlagSet) {}

func (*validateCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return exitUsage
	}
	status := exitInForce
	for _, file := range f.Args() {
		if _, err := readBatch(file); err != nil {
			fmt.Fprintf(os.Stderr, "%s: ", file)
			status = fail(err)
			continue
		}
		fmt.Printf("%s: ok\n", file)
	}
	return status
}

// readBatch reads the documents of one file.
func readBatch(file string) (*model.Batch, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return model.ParseDocument(raw)
}

// readBatches merges the documents of several files into one change.
func readBatches(files []string) (*model.Batch, error) {
	all := new(model.Batch)
	for _, file := range files {
		b, err := readBatch(file)
		if err != nil {
			return nil, &FileError{File: file, Err: err}
		}
		all.Contracts = append(all.Contracts, b.Contracts...)
		all.Services = append(all.Services, b.Services...)
		all.DeleteContracts = append(all.DeleteContracts, b.DeleteContracts...)
		all.DeleteServices = append(all.DeleteServices, b.DeleteServices...)
	}
	return all, nil
}

// FileError reports a file with a fault.
type FileError struct {
	// File is the file's name.
	File string
	// Err is the fault.
	Err error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the fault.
func (e *FileError) Unwrap() error { return e.Err }
