package operatorapi

import (
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// MaxWait bounds how long a progress answer may be held.
const MaxWait = 10 * time.Second

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

// checkChangeID refuses what can't be the id of a change; an empty one selects
// all.
func checkChangeID(id string) error {
	if id != "" && !accept.ValidChangeID(id) {
		return malformed("query parameter change: want a change id")
	}
	return nil
}

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
