package headpack

import "strconv"

// FrameError reports received bytes that aren't a valid frame.
type FrameError struct {
	// What describes the fault.
	What string
	// Err is the cause; nil when there is none.
	Err error
}

// Error implements error.
func (e *FrameError) Error() string {
	if e.Err != nil {
		return "packed connection: " + e.What + ": " + e.Err.Error()
	}
	return "packed connection: " + e.What
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// lengthError returns the error for a head, or its encoded block, of n bytes,
// which is over the limit.
func lengthError(n uint64) error {
	return &FrameError{What: "head of " + strconv.FormatUint(n, 10) + " bytes is too large"}
}
