// Package entry is the entry proxy. It accepts callers' requests, looks up the
// contract, class and route of each, admits it under the organisation's limits,
// chooses a backend server and sends the request to the gate on that server's
// host.
//
// Every response carries its outcome: answered, not run, or unknown. Requests
// of organisations and routes that the older system handles are forwarded to it
// byte for byte.
package entry
