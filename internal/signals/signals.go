// Package signals catches the signals of a process, so that no signal's default action
// terminates it while callers' requests are in flight.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals delivers the signals that the process has received since Catch. The zero value
// never delivers any.
type Signals struct {
	stop, reload chan os.Signal
}

// Catch starts catching signals, until the process ends. Call it before opening anything
// that others can reach, such as a listener.
func Catch() *Signals {
	// Each purpose has its own channel with capacity 1: a signal that arrives while its
	// channel is full is redundant and can be dropped.
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	// Otherwise writing to a log pipe whose reader has gone would terminate the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Stop delivers SIGTERM and SIGINT, which request termination.
func (s *Signals) Stop() <-chan os.Signal { return s.stop }

// Reload delivers SIGHUP, which requests a reload of the settings.
func (s *Signals) Reload() <-chan os.Signal { return s.reload }
