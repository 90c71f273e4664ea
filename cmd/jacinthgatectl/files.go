package main

import (
	"io"
	"io/fs"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// stdin stands for standard input in the place of a file.
const stdin = "-"

// FileError reports a file that can't be read or has faults.
type FileError struct {
	// File is the file's name.
	File string
	// Err is the fault: a strictjson.Faults, or an error of the system.
	Err error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the fault.
func (e *FileError) Unwrap() error { return e.Err }

// FileErrors are the faults of all files. As an error it is never empty.
type FileErrors []*FileError

// Error implements error: one file a line.
func (es FileErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// unreadable reports whether a file could not be read at all.
func (es FileErrors) unreadable() bool {
	for _, e := range es {
		var faults strictjson.Faults
		if !errors.As(e.Err, &faults) {
			return true
		}
	}
	return false
}

// fault is one fault of a document, with its file where it is known.
type fault struct {
	File    string `json:"file,omitempty"`
	Path    string `json:"path,omitempty"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f fault) String() string {
	var b strings.Builder
	for _, place := range []string{f.File, f.Path} {
		if place != "" {
			b.WriteString(place + ": ")
		}
	}
	return b.String() + "found " + f.Found + ", allowed: " + f.Allowed
}

// faults lists all faults of all files.
func (es FileErrors) faults() []fault {
	var out []fault
	for _, e := range es {
		var faults strictjson.Faults
		if !errors.As(e.Err, &faults) {
			out = append(out, fault{File: e.File, Found: "nothing: " + causeOf(e.Err).Error(), Allowed: "a file that can be read"})
			continue
		}
		for _, f := range faults {
			out = append(out, fault{File: e.File, Path: f.Path, Found: f.Found, Allowed: f.Allowed})
		}
	}
	return out
}

// causeOf is the cause without the file's name, which is told already.
func causeOf(err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}

// readBatch reads the documents of one file.
func readBatch(file string) (*model.Batch, error) {
	var raw []byte
	var err error
	if file == stdin {
		raw, err = io.ReadAll(io.LimitReader(os.Stdin, strictjson.MaxSize+1))
	} else {
		raw, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	return model.ParseDocument(raw)
}

// readBatches merges the documents of several files into one change. The error
// is a FileErrors with all faults of all files, and those of the whole.
func readBatches(files []string) (*model.Batch, error) {
	all := new(model.Batch)
	var faults FileErrors
	for _, file := range files {
		b, err := readBatch(file)
		if err != nil {
			faults = append(faults, &FileError{File: file, Err: err})
			continue
		}
		all.Contracts = append(all.Contracts, b.Contracts...)
		all.Services = append(all.Services, b.Services...)
		all.DeleteContracts = append(all.DeleteContracts, b.DeleteContracts...)
		all.DeleteServices = append(all.DeleteServices, b.DeleteServices...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	if err := all.Validate(); err != nil {
		return nil, FileErrors{{File: strings.Join(files, " and "), Err: err}}
	}
	return all, nil
}
