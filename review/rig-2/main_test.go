// Package rig2 plays the cases of the second review. It starts the project's sidecars as
// separate processes on loopback addresses, with small stand-ins of the platform's store,
// of the backend servers and of the clients, and judges one rule.
//
// Usage of the test program: rig2 CASE RECORD. The exit status is 1 if the rule was broken, 0 if it held and 2
// if the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
package rig2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Exit statuses.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// TestMain plays a case: the files are tests, since the platform's names stand in them.
func TestMain(*testing.M) {
	cases := map[string]func(*rig) int{"restarted": restarted, "behind": behind, "upload": upload, "forgotten": forgotten}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 restarted|behind|upload|forgotten RECORD")
		os.Exit(couldNot)
	}
	g, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](g) }()
	status := couldNot
	select {
	case status = <-result:
	case <-stop:
		g.rec.note("stopped by a signal")
	}
	g.close()
	g.rec.note("exit status %d", status)
	os.Exit(status)
}
