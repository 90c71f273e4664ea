package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// nodeHeaders are the headers that only nodes may set. The constants are in
// canonical form, so they index an http.Header directly.
var nodeHeaders = [...]string{
	outcome.HeaderOrganisation,
	outcome.HeaderClass,
	outcome.HeaderKind,
	outcome.HeaderService,
	outcome.HeaderLoad,
	outcome.HeaderTypical,
	outcome.HeaderServedBy,
	outcome.HeaderOutcome,
	outcome.HeaderReason,
	outcome.HeaderInstance,
	outcome.HeaderCaller,
	outcome.HeaderUrgency, outcome.HeaderLinkWait, outcome.HeaderLinkBacklog,
	outcome.HeaderReached,
	outcome.HeaderElsewhere,
	outcome.HeaderFingerprint,
	outcome.HeaderStartWithin,
	outcome.HeaderQuota,
	outcome.HeaderRepeat,
	outcome.HeaderStrain,
}

// StripNodeHeaders removes what only nodes may set, whoever sent it.
func StripNodeHeaders(h http.Header) {
	for _, name := range nodeHeaders {
		delete(h, name)
	}
}

// HeaderError reports a header that must hold one number and doesn't.
type HeaderError struct {
	// Name is the header's name.
	Name string
}

// Error implements error.
func (e *HeaderError) Error() string { return e.Name + " is not a number" }

// HeaderInt reads a header that holds one number of at most 31 bits. present
// is false without the header. The error is a *HeaderError.
func HeaderInt(h http.Header, name string) (value int, present bool, err error) {
	lines := h[name]
	if len(lines) == 0 {
		return 0, false, nil
	}
	v, perr := strconv.ParseUint(lines[0], 10, 31)
	if len(lines) > 1 || perr != nil {
		return 0, true, &HeaderError{Name: name}
	}
	return int(v), true, nil
}

// Millis returns the value of a header that holds a time, in whole milliseconds.
func Millis(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

// maxDrain is how much of a refusal's body is read so that its connection can
// be used again, in bytes.
const maxDrain = 4 << 10

// Drain reads a short body to its end and closes it.
func Drain(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrain) // only the connection is at stake
	_ = resp.Body.Close()
}

// RetryAfter reads a Retry-After in whole seconds.
func RetryAfter(h http.Header, otherwise time.Duration) time.Duration {
	s, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil || s == 0 {
		return otherwise
	}
	return time.Duration(s) * time.Second
}
