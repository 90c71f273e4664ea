// Package quota carries the tokens of coordination/quota between nodes and lets requests in
// by them. Messages go to the gate addresses of other nodes, told apart from requests by a
// header that callers can't set.
package quota
