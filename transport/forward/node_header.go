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
	outcome.HeaderMeanServiceTime,
	outcome.HeaderServedBy,
	outcome.HeaderOutcome,
	outcome.HeaderReason,
	outcome.HeaderInstance,
	outcome.HeaderCaller,
	outcome.HeaderUrgency, outcome.HeaderLinkWait, outcome.HeaderLinkBacklog,
	outcome.HeaderReached,
	outcome.HeaderReroutable,
	outcome.HeaderFingerprint,
	outcome.HeaderTrial,
	outcome.HeaderStartWithin,
	outcome.HeaderQuota,
	outcome.HeaderRepeat,
	outcome.HeaderBudgetUsage,
	outcome.HeaderStatedLimit, outcome.HeaderLimitWait,
}

// StripNodeHeaders removes the headers that only nodes may set from h.
func StripNodeHeaders(h http.Header) {
	for _, name := range nodeHeaders {
		delete(h, name)
	}
}

// HeaderError reports a header whose value is not a single number.
type HeaderError struct {
	// Name is the header's name.
	Name string
}

// Error implements error.
func (e *HeaderError) Error() string { return e.Name + " is not a number" }

// HeaderInt parses a header that holds one number of at most 31 bits. present
// is false if h lacks the header. The error is a *HeaderError.
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

// Millis formats a duration as a header's value, in whole milliseconds. A
// negative duration counts as 0.
func Millis(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

// maxDrain is the maximum length of a refusal's body that Drain reads to make the
// connection reusable, in bytes.
const maxDrain = 4 << 10

// maxDrainTime bounds the time for which Drain reads.
const maxDrainTime = 20 * time.Millisecond

// Drain closes the body of resp. It first reads a short body to its end, so that
// the connection can be reused.
func Drain(resp *http.Response) {
	if resp.Body == http.NoBody || resp.ContentLength > maxDrain {
		_ = resp.Body.Close()
		return
	}
	timer := time.AfterFunc(maxDrainTime, func() { _ = resp.Body.Close() }) // the read then fails
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrain+1) // an error only makes the connection unusable
	_ = resp.Body.Close()
}

// RetryAfter returns the delay in the Retry-After header of h, which is in whole
// seconds, or fallback if the header is missing, invalid or 0.
func RetryAfter(h http.Header, fallback time.Duration) time.Duration {
	s, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil || s == 0 {
		return fallback
	}
	return time.Duration(s) * time.Second
}
