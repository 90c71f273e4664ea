// Package entry is the entry proxy: it takes a caller's request, finds its
// contract, class and route, admits it, chooses a backend server and sends the
// request to the gate of that server's host.
//
// Every response carries its outcome: answered, not run, or unknown. Requests
// of organisations and routes that the older system handles are passed to it
// untouched.
package entry
