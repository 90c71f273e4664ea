package strictjson

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// maxFound is the length in bytes to which Fault.Found is truncated.
const maxFound = 80

// Fault is one error in a document.
type Fault struct {
	// Path locates the value, for example routes[2].service. It is empty for
	// the document as a whole.
	Path string `json:"path"`
	// Found is the text found at Path, or a description of it.
	Found string `json:"found"`
	// Allowed describes the values allowed at Path.
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

// Faults are the faults of one document in order of discovery. Err turns them
// into an error, which is never empty.
type Faults []Fault

// Error implements error. It returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns fs as an error, or nil when fs is empty.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Add appends a fault, unless fs has MaxFaults already. It truncates found to
// 80 bytes.
func (fs *Faults) Add(path, found, allowed string) {
	if len(*fs) >= MaxFaults {
		return
	}
	*fs = append(*fs, Fault{Path: path, Found: truncate(found), Allowed: allowed})
}

// AddValue appends a fault whose Found is the value found, with strings quoted.
func (fs *Faults) AddValue(path string, found any, allowed string) {
	if s, ok := found.(string); ok {
		fs.Add(path, fmt.Sprintf("%q", s), allowed)
		return
	}
	fs.Add(path, fmt.Sprint(found), allowed)
}

// Merge appends the faults of others, except those whose path is equal to or
// below the path of a fault in fs. So validation does not report a value a
// second time that could not be decoded.
func (fs *Faults) Merge(others Faults) {
	known := *fs
	for _, o := range others {
		if !known.cover(o.Path) {
			fs.Add(o.Path, o.Found, o.Allowed)
		}
	}
}

// cover reports whether path is equal to or below the path of a fault in fs.
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

// truncate returns s, shortened to at most maxFound bytes at a character's
// boundary and marked with dots if it is longer.
func truncate(s string) string {
	if len(s) <= maxFound {
		return s
	}
	end := maxFound
	for !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + "..."
}
