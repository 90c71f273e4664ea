// Package version holds the version that every binary prints.
package version

import "runtime/debug"

// Number is the released version.
const Number = "0.1.0"

// String returns the version with the source revision, where it is known.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Number + " (" + s.Value + ")"
		}
	}
	return Number
}
