package headpack

import "strconv"

// FrameError reports bytes that are no frame of this package.
type FrameError struct {
	// What is wrong with them.
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

func lengthError(n uint64) error {
	return &FrameError{What: "a head of " + strconv.FormatUint(n, 10) + " bytes"}
}
