// Package serverlimit tracks the rate limit that a backend server states about itself in
// its responses: the requests per second that it accepts from all hosts together, for as
// long as it states so.
//
// A Tracker follows one backend server. It belongs to the gate in front of that server,
// which all requests to it pass, so that the limit holds in sum without any sharing between
// hosts.
package serverlimit
