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

// HeadSizeError reports a response whose head is too large.
type HeadSizeError struct {
	// Limit is the maximum size, in bytes.
	Limit int64
}

// Error implements error.
func (e *HeadSizeError) Error() string { return "response head too large" }

// BodySizeError reports a response body of unknown length that is too large.
type BodySizeError struct {
	// Limit is the maximum size, in bytes.
	Limit int64
}

// Error implements error.
func (e *BodySizeError) Error() string { return "response body too large" }

// ProtocolError reports a request or response that violates HTTP/1.1 or uses a part
// of it that is not supported.
type ProtocolError struct {
	// What names the violation, or the part of the request that is invalid.
	What string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.What }
