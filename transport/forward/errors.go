package forward

// SendError reports a request that got no response.
type SendError struct {
	// Sent is false if no byte of the request was sent, so that the request
	// certainly was not run.
	Sent bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "request sent, no response: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// TruncatedError reports a response that ended before it was complete.
type TruncatedError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *TruncatedError) Error() string { return "response cut short: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// CallerError reports that the response could not be written to the caller.
type CallerError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CallerError) Error() string { return "caller went away: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// sealedError is the error of a write on a sealed connection.
type sealedError struct{}

// Error implements error.
func (*sealedError) Error() string { return "connection sealed after a failed request" }
