// Package quota enforces the quotas of organisations on a node's requests. It exchanges the
// tokens of coordination/quota with other nodes in messages to their gate addresses. A header
// that callers can't set distinguishes these messages from requests.
package quota
