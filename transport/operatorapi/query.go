package operatorapi

import (
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// MaxWait bounds how long a progress request waits for its version to come into
// force; longer waits are reduced to it.
const MaxWait = 10 * time.Second

// checkSelection returns an error if kind and name don't select documents; empty
// ones select all.
func checkSelection(kind, name string) error {
	switch {
	case kind != "" && kind != operator.KindContract && kind != operator.KindService:
		return malformed("query parameter kind: want contract or service")
	case name != "" && kind == "":
		return malformed("query parameter name: want kind too")
	case name != "" && !model.ValidName(name):
		return malformed("query parameter name: want the name of a document")
	}
	return nil
}

// checkChangeID returns an error if id can't be the id of a change; an empty one
// selects all changes.
func checkChangeID(id string) error {
	if id != "" && !accept.ValidChangeID(id) {
		return malformed("query parameter change: want a change id")
	}
	return nil
}

// parseLimit returns the number of changes to list, by default
// operator.MaxHistory.
func parseLimit(s string) (int, error) {
	if s == "" {
		return operator.MaxHistory, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > operator.MaxHistory {
		return 0, malformed("query parameter limit: want a number of 1 to " + strconv.Itoa(operator.MaxHistory))
	}
	return n, nil
}

// parseWait returns the duration to wait, at most MaxWait and by default 0.
func parseWait(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, malformed("query parameter wait: want a duration")
	}
	return min(d, MaxWait), nil
}
