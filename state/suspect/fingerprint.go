// Package suspect records requests that are suspected to crash the backend servers that
// run them, the evidence against each, and whether it is quarantined, that is, no longer
// sent.
//
// The evidence is soft state that all nodes share: the crashes of backend server instances
// during which a request was in flight. Evidence is only added, so copies can be merged in
// any order, and it expires by the time of the crash.
package suspect

import (
	"strconv"
	"strings"
)

// Fingerprint is a hash of a request's content. It is the same for every caller, node and
// retry. 0 stands for no fingerprint.
type Fingerprint uint64

// hexBase is the number base of fingerprints in text.
const hexBase = 16

// String returns the fingerprint in the form used in logs and headers.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), hexBase) }

// FingerprintError reports a text that is not a valid fingerprint.
type FingerprintError struct {
	// Found is the text.
	Found string
}

// Error implements error.
func (e *FingerprintError) Error() string {
	return "fingerprint " + strconv.Quote(e.Found) + ": want up to 16 hexadecimal digits"
}

// ParseFingerprint parses the result of String. The error is a *FingerprintError.
func ParseFingerprint(s string) (Fingerprint, error) {
	f, err := strconv.ParseUint(s, hexBase, 64)
	if err != nil {
		return 0, &FingerprintError{Found: s}
	}
	return Fingerprint(f), nil
}

// Join returns fingerprints separated by commas, as in a log line.
func Join(fingerprints []Fingerprint) string {
	texts := make([]string, 0, len(fingerprints))
	for _, f := range fingerprints {
		texts = append(texts, f.String())
	}
	return strings.Join(texts, ",")
}
