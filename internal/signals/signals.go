// Package signals catches the signals of a process, so that none ends it by the default
// action while callers' requests are under way.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals of a process since Catch. The zero value never has any.
type Signals struct {
	stop, reload chan os.Signal
}

// Catch begins to catch signals, until the process ends. Call it before anything is
// opened that others can reach.
func Catch() *Signals {
	// A channel of its own for each purpose, with room for the one that counts: a signal
	// that finds its channel full says nothing new.
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	// Without it a log that nobody reads any more would end the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Stop has SIGTERM or SIGINT, which ask the process to end.
func (s *Signals) Stop() <-chan os.Signal { return s.stop }

// Reload has SIGHUP, which asks for the settings to be read again.
func (s *Signals) Reload() <-chan os.Signal { return s.reload }
