package settings

import (
	"os"
	"strings"

	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// FileError reports a settings file that can't be read or has faults.
type FileError struct {
	// Path is the file's path.
	Path string
	// Err is the cause: an error of the operating system or a
	// strictjson.Faults.
	Err error
}

// Error implements error: one fault a line, each with the file.
func (e *FileError) Error() string {
	lines := strings.Split(e.Err.Error(), "\n")
	for i := range lines {
		lines[i] = "settings " + e.Path + ": " + lines[i]
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// LoadNode reads the settings of a node from a file. The error is a
// *FileError.
func LoadNode(path string) (*Node, error) { return load(path, ParseNode) }

// LoadCtl reads the settings of jacinthgatectl from a file. The error is a
// *FileError.
func LoadCtl(path string) (*Ctl, error) { return load(path, ParseCtl) }

// ParseNode reads the settings of a node over the defaults. The error is a
// strictjson.Faults.
func ParseNode(b []byte) (*Node, error) {
	n := DefaultNode()
	faults := strictjson.Decode(b, n)
	faults.Merge(n.faults())
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return n, nil
}

// ParseCtl reads the settings of jacinthgatectl over the defaults. The error
// is a strictjson.Faults.
func ParseCtl(b []byte) (*Ctl, error) {
	c := DefaultCtl()
	faults := strictjson.Decode(b, c)
	faults.Merge(c.faults())
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func load[S any](path string, parse func([]byte) (*S, error)) (*S, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	s, err := parse(b)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return s, nil
}
