// Package settings reads the JSON settings of the daemon jacinthgate-node and
// of the command jacinthgatectl. Settings are strict: all faults are reported at
// once with their paths, durations carry units, and addresses are IP numbers.
package settings
