// Package logging provides the logger of every binary: one line of key=value pairs
// for each event.
package logging

import (
	"bytes"
	"io"
	stdlog "log"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes events of at least the given level ("debug",
// "info", "warn" or "error"; anything else means info) with a timestamp.
// Events without a level are always written.
func New(w io.Writer, least string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "time", log.DefaultTimestampUTC)
	allowed := level.ParseDefault(least, level.InfoValue())
	return level.NewFilter(logger, level.Allow(allowed))
}

// CatchLibraries redirects the output of the standard library's logger, which
// third-party libraries use, to events of this logger, so that all lines of the log
// have the same format.
func CatchLibraries(logger log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{Limit(logger, maxLibraryLines)})
}

// maxLibraryLines limits the lines per second from libraries, since untrusted clients
// can cause them, for example by failed TLS handshakes.
const maxLibraryLines = 10

// libraryWriter turns each message of the standard library's logger into an
// event.
type libraryWriter struct{ logger log.Logger }

// Write implements io.Writer.
func (w libraryWriter) Write(b []byte) (int, error) {
	_ = level.Warn(w.logger).Log("event", "library_warning", "message", string(bytes.TrimSpace(b)))
	return len(b), nil
}
