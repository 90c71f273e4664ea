package endpoint

import "strconv"

// String returns the name of the status for logs and operators' tools.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	case StatusFailed:
		return "failed"
	case StatusLeft:
		return "left"
	default:
		return "status-" + strconv.Itoa(int(s))
	}
}
