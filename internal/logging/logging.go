// Package logging makes the logger of every binary: one line of key=value pairs
// for each event.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes events of at least the given level ("debug",
// "info", "warn" or "error"; anything else means info) with their time. Events
// without a level are written always.
func New(w io.Writer, least string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "time", log.DefaultTimestampUTC)
	allowed := level.ParseDefault(least, level.InfoValue())
	return level.NewFilter(logger, level.Allow(allowed))
}
