// Package standin holds the stand-ins of the review's cases: the platform's store, application
// servers and clients, as the users' pages describe them. It is compiled with "go test -c", so
// that the names of the platform stay out of the project's own sources; the program takes the
// case as its first argument.
package standin

import (
	"fmt"
	"os"
	"testing"
)

// cases are the scripts by their names. Each reports whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"late-heartbeat":    lateHeartbeat,
	"forgotten-drain":   forgottenDrain,
	"foreign-heartbeat": foreignHeartbeat,
	"revived-key":       revivedKey,
	"moved-key":         movedKey,
	"crowded-machine":   crowdedMachine,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// TestMain runs: standin CASE PROGRAM DIR RECORD, with TROUBLE=0 without the disruption.
func TestMain(*testing.M) { os.Exit(play()) }

func play() int {
	if len(os.Args) == 2 && os.Args[1] == "users" {
		return holdUsers()
	}
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE PROGRAM DIR RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[4])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	s, err := newSite(rec, os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was BROKEN")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
