// Package local is the HTTP API that a node offers to the backend server on its own
// host. The backend server uses it to announce itself, to renew its announcement, and
// to start and end a drain.
package local

import (
	"fmt"
	"net"
	"time"
)

// Announcement is a backend server's registration at the node of its host: its service,
// address and capacity. It is immutable.
type Announcement struct {
	// Service is the service offered; empty when none is announced.
	Service string `json:"service"`
	// Addr is the backend server's TCP address, IP:port.
	Addr string `json:"address"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the backend server accepts.
	Connections int `json:"connections"`
	// Draining reports whether the backend server takes no new requests.
	Draining bool `json:"draining,omitempty"`
	// Since is the time of the first announcement with this address and service.
	// Slow start is measured from it.
	Since time.Time `json:"-"`
}

// Announced reports whether a backend server is announced.
func (a Announcement) Announced() bool { return a.Service != "" }

// maxSlots bounds the slots and the connections that a backend server may announce.
const maxSlots = 1 << 16

// FieldError reports an invalid field of an announcement.
type FieldError struct {
	// Field is the field's JSON name.
	Field string
	// Want describes the valid values.
	Want string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: want %s", e.Field, e.Want) }

// maxServiceName is the maximum length of a service name, in bytes.
const maxServiceName = 63

func (a Announcement) validate() error {
	if a.Service == "" || len(a.Service) > maxServiceName {
		return &FieldError{Field: "service", Want: "a name of 1 to 63 bytes"}
	}
	host, port, err := net.SplitHostPort(a.Addr)
	if err != nil || net.ParseIP(host) == nil || port == "0" {
		return &FieldError{Field: "address", Want: "an IP address and a port"}
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return &FieldError{Field: "slots", Want: "1 to 65536"}
	}
	if a.Connections < 1 || a.Connections > maxSlots {
		return &FieldError{Field: "connections", Want: "1 to 65536"}
	}
	return nil
}
