// Package local is the HTTP API that a node offers to the backend server on
// its own host: the server announces itself there, renews its announcement and
// says when it drains.
package local

import (
	"fmt"
	"net"
	"time"
)

// Announcement is what a backend server says of itself. It is immutable.
type Announcement struct {
	// Service is the service offered; empty when none is announced.
	Service string `json:"service"`
	// Addr is the backend server's TCP address, IP:port.
	Addr string `json:"address"`
	// Slots is the number of requests it runs at one time.
	Slots int `json:"slots"`
	// Connections is the number of connections it accepts.
	Connections int `json:"connections"`
	// Draining says that it takes no new work.
	Draining bool `json:"draining,omitempty"`
	// Since is when this server was first announced; a new address or service
	// starts anew. Slow start counts from it.
	Since time.Time `json:"-"`
}

// Announced reports whether there is a backend server.
func (a Announcement) Announced() bool { return a.Service != "" }

// maxSlots bounds what a backend server may claim.
const maxSlots = 1 << 16

// FieldError reports a field of an announcement that can't be used.
type FieldError struct {
	// Field is the field's JSON name.
	Field string
	// Want says what would be right.
	Want string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: want %s", e.Field, e.Want) }

// maxServiceName is the longest name of a service in bytes.
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
