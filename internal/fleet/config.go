package fleet

import (
	"fmt"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Ports of the processes on a host's address.
const (
	portCaller   = 8080
	portGate     = 8081
	portPeer     = 8081
	portLocal    = 8082
	portOperator = 8083
	portBackend  = 8090
	portPlatform = 9000
	portOlder    = 9100
	portRelay    = 7081
)

// Config describes a fleet.
type Config struct {
	// Bin is the directory of the binaries.
	Bin string
	// Dir is the directory for settings and logs; it must exist.
	Dir string
	// Network is the second byte of all addresses, 1 to 254. 0 chooses one.
	Network int
	// Hosts are the hosts, each with a node and, where Service is set, a
	// backend server.
	Hosts []Host
	// SeedsPerZone is the number of nodes of each zone that the others know.
	SeedsPerZone int
	// Relay passes all traffic between hosts, and to the platform, through
	// relays that Fleet.Cuts can cut.
	Relay bool
	// Older starts the stand-in of the older system.
	Older bool
	// TLS gives each node a certificate and an address for operators, and the
	// operator a certificate.
	TLS bool
	// LogLevel is the nodes' log level.
	LogLevel string
	// Edit changes a node's settings, as JSON, before it starts; nil for none.
	Edit func(node model.NodeID, settings map[string]any)
	// StartTimeout bounds the wait for one process to listen.
	StartTimeout time.Duration
}

// Host is one host.
type Host struct {
	// Node is the node's name.
	Node model.NodeID
	// Zone and Region say where the host is.
	Zone   model.Zone
	Region model.Region
	// Service is offered by the host's backend server; empty starts none.
	Service string
	// Slots and Connections are the backend server's.
	Slots, Connections int
	// ServiceMillis is the mean time that the backend server takes for a
	// request, in milliseconds.
	ServiceMillis float64
}

// DefaultConfig returns a fleet without hosts.
func DefaultConfig(bin, dir string) Config {
	return Config{Bin: bin, Dir: dir, SeedsPerZone: 2, LogLevel: "info", StartTimeout: 20 * time.Second}
}

// Spread returns hosts spread evenly over zones, without backend servers, for
// measurements of the control plane.
func Spread(nodes int, zones ...model.Zone) []Host {
	hosts := make([]Host, 0, nodes)
	for i := range nodes {
		zone := zones[i%len(zones)]
		hosts = append(hosts, Host{
			Node:   model.NodeID(fmt.Sprintf("%s-%d", zone, i/len(zones)+1)),
			Zone:   zone,
			Region: model.Region("region-" + string(zone[0])),
		})
	}
	return hosts
}

// RoomSignage returns the hosts of the Room Signage Mesh: 3 zones, 7 backend
// servers of foglalas and 3 of kiosztas.
func RoomSignage() []Host {
	zones := []model.Zone{"angyalfold", "csepel", "obuda"}
	services := []string{
		"foglalas", "foglalas", "foglalas", "foglalas", "foglalas", "foglalas", "foglalas",
		"kiosztas", "kiosztas", "kiosztas",
	}
	hosts := Spread(len(services), zones...)
	for i := range hosts {
		hosts[i].Region = "budapest"
		hosts[i].Service = services[i]
		hosts[i].Slots = 10
		hosts[i].Connections = 110
		hosts[i].ServiceMillis = 2
	}
	return hosts
}
