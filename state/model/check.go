package model

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// Descriptions of the allowed values, for strictjson.Fault.Allowed.
const (
	allowedName   = "1 to 63 lower-case letters, digits and hyphens, first no hyphen"
	allowedHost   = "a lower-case host name without port"
	allowedPath   = "a path that starts with /, of at most 1024 bytes, without escapes, query, empty or dot segments"
	allowedUnique = "a name that is not used before"
)

// Characters allowed in names and paths.
const (
	pathMarks    = "-._~!$&'()*+,;=:@/"
	lowerLetters = "abcdefghijklmnopqrstuvwxyz"
	upperLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	digits       = "0123456789"
	nameBytes    = lowerLetters + digits + "-"
	pathBytes    = lowerLetters + upperLetters + digits + pathMarks
)

// ValidName reports whether s is a valid name of an organisation, class, route,
// service, node, zone or region.
func ValidName(s string) bool {
	return s != "" && len(s) <= MaxNameLength && s[0] != '-' && onlyBytes(s, nameBytes)
}

// ValidHost reports whether s is a lower-case host name without port. Each label
// must be a valid name and must not end with a hyphen.
func ValidHost(s string) bool {
	if len(s) > MaxHostLength {
		return false
	}
	for label := range strings.SplitSeq(s, ".") {
		if !ValidName(label) || strings.HasSuffix(label, "-") {
			return false
		}
	}
	return true
}

// ValidPath reports whether s may be a path prefix or a probe path.
func ValidPath(s string) bool {
	if !strings.HasPrefix(s, "/") || len(s) > MaxPathLength || !onlyBytes(s, pathBytes) {
		return false
	}
	segments := strings.Split(s[1:], "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		if segment == "." || segment == ".." || segment == "" && !last {
			return false
		}
	}
	return true
}

func onlyBytes(s, allowed string) bool {
	return strings.Trim(s, allowed) == ""
}

// checker validates values of one document and collects the faults.
type checker struct {
	faults strictjson.Faults
}

func (c *checker) name(path, s string) bool {
	if ValidName(s) {
		return true
	}
	c.faults.AddValue(path, s, allowedName)
	return false
}

func (c *checker) path(path, s string) {
	if !ValidPath(s) {
		c.faults.AddValue(path, s, allowedPath)
	}
}

func (c *checker) within(path string, v, low, high int) {
	if v < low || v > high {
		c.faults.AddValue(path, v, fmt.Sprintf("%d to %d", low, high))
	}
}

// fraction checks that v lies between 0 and high, both included. NaN is a
// fault.
func (c *checker) fraction(path string, v, high float64) {
	if v >= 0 && v <= high {
		return
	}
	c.faults.AddValue(path, v, fmt.Sprintf("0 to %g", high))
}

func (c *checker) duration(path string, v Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		c.faults.AddValue(path, v, fmt.Sprintf("%v to %v", Duration(low), Duration(high)))
	}
}

func (c *checker) count(path string, n, high int) {
	if n > high {
		c.faults.Add(path, fmt.Sprintf("%d elements", n), fmt.Sprintf("at most %d elements", high))
	}
}

// unique checks that s is not in seen, and adds it there.
func (c *checker) unique(path, s string, seen map[string]bool) {
	if seen[s] {
		c.faults.AddValue(path, s, allowedUnique)
	}
	seen[s] = true
}

// oneOf checks that v is among the allowed values.
func oneOf[S ~string](c *checker, path string, v S, allowed []S) {
	if slices.Contains(allowed, v) {
		return
	}
	words := make([]string, len(allowed))
	for i, a := range allowed {
		words[i] = string(a)
	}
	c.faults.AddValue(path, string(v), strings.Join(words, ", "))
}
