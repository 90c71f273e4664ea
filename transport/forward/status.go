package forward

import "net/http"

// FailedStatus reports whether the status of a backend server's response means that
// the server itself failed.
func FailedStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
