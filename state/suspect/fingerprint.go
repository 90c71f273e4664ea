// Package suspect holds which requests are suspected to crash the backend servers
// that run them, on what evidence, and from when on they are no longer sent.
//
// The evidence is soft state that all nodes share: the crashes under which a request
// was running, each with the backend server's start. It only grows, so that copies
// are merged in any order, and ages by the time of the crash.
package suspect

import (
	"strconv"
	"strings"
)

// Fingerprint identifies what a request asks for, whoever sends it, at whichever
// node and however often. 0 stands for none.
type Fingerprint uint64

// hexBase is the base in which fingerprints are written.
const hexBase = 16

// String returns the fingerprint as it stands in logs and headers.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), hexBase) }

// FingerprintError reports a text that is no fingerprint.
type FingerprintError struct {
	// Found is the text.
	Found string
}

// Error implements error.
func (e *FingerprintError) Error() string {
	return "fingerprint " + strconv.Quote(e.Found) + ": want up to 16 hexadecimal digits"
}

// ParseFingerprint reads what String returns. The error is a *FingerprintError.
func ParseFingerprint(s string) (Fingerprint, error) {
	f, err := strconv.ParseUint(s, hexBase, 64)
	if err != nil {
		return 0, &FingerprintError{Found: s}
	}
	return Fingerprint(f), nil
}

// Join returns fingerprints as they stand in a log line, with commas between them.
func Join(fingerprints []Fingerprint) string {
	texts := make([]string, 0, len(fingerprints))
	for _, f := range fingerprints {
		texts = append(texts, f.String())
	}
	return strings.Join(texts, ",")
}
