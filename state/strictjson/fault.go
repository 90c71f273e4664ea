package strictjson

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// maxFound is the length in bytes at which a Fault's Found is cut off.
const maxFound = 80

// Fault is one thing wrong with a document.
type Fault struct {
	// Path leads to the value, such as routes[2].service. It is empty for the
	// document as a whole.
	Path string `json:"path"`
	// Found is what the document holds there.
	Found string `json:"found"`
	// Allowed says what it may hold.
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "document"
	}
	return path + ": found " + f.Found + ", allowed: " + f.Allowed
}

// Faults are all faults of one document, in order of discovery. As an error it
// is never empty.
type Faults []Fault

// Error implements error: one fault a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns fs as an error, or nil when there is no fault.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Add appends a fault. After MaxFaults it drops further ones. Found is cut off
// at 80 bytes.
func (fs *Faults) Add(path, found, allowed string) {
	if len(*fs) >= MaxFaults {
		return
	}
	*fs = append(*fs, Fault{Path: path, Found: cut(found), Allowed: allowed})
}

// AddValue appends a fault whose found value is shown as in JSON.
func (fs *Faults) AddValue(path string, found any, allowed string) {
	if s, ok := found.(string); ok {
		fs.Add(path, fmt.Sprintf("%q", s), allowed)
		return
	}
	fs.Add(path, fmt.Sprint(found), allowed)
}

// Merge appends those of others whose path is not at or below a path of fs: a
// value that could not be decoded isn't reported a second time.
func (fs *Faults) Merge(others Faults) {
	known := *fs
	for _, o := range others {
		if !known.cover(o.Path) {
			fs.Add(o.Path, o.Found, o.Allowed)
		}
	}
}

func (fs Faults) cover(path string) bool {
	for _, f := range fs {
		if f.Path == path || f.Path == "" {
			return true
		}
		rest, below := strings.CutPrefix(path, f.Path)
		if below && (rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

func cut(s string) string {
	if len(s) <= maxFound {
		return s
	}
	end := maxFound
	for !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + "..."
}
