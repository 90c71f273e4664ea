package endpoint

import "strconv"

// String returns the status's name, for logs and operators.
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
