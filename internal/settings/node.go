package settings

import "github.com/jacinthgate/jacinthgate/state/model"

// Node holds the settings of one jacinthgate-node.
type Node struct {
	// Node is the node's unique name. It stays the same over restarts.
	Node model.NodeID `json:"node" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// Zone is the availability zone of the node's host.
	Zone model.Zone `json:"zone" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// Region is the region of the availability zone.
	Region model.Region `json:"region" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// Listen holds the addresses that the node listens on.
	Listen Listen `json:"listen"`
	// Advertise holds the addresses that other nodes are told, where they
	// differ from those listened on.
	Advertise Advertise `json:"advertise,omitzero"`
	// Operator is the TCP address, IP:port, of the operators' interface. With
	// tls it asks for a client certificate. Without it the interface is at
	// listen.local only.
	Operator string `json:"operator,omitempty"`
	// Seeds are the peer addresses, IP:port, of nodes to join through. The
	// node's own address may be among them. A node without seeds waits for
	// others to join it.
	Seeds []string `json:"seeds,omitempty" jsonschema:"maxItems=64,uniqueItems=true"`
	// Platform says where the platform's services are.
	Platform Platform `json:"platform"`
	// TLS holds the certificates for connections between nodes and from
	// operators. It may be absent only if insecure is true.
	TLS *TLS `json:"tls,omitempty"`
	// Insecure lets the node run without certificates of its own: anyone who
	// reaches its addresses may act as a peer or an operator. For trials on
	// one host.
	Insecure bool `json:"insecure,omitempty"`
	// Older says where the older system is. Without it, requests that the
	// older system handles are refused.
	Older *Older `json:"older,omitempty"`
	// Control bounds what the node does to keep the configuration current.
	Control Control `json:"control,omitzero"`
	// Limits bound what the node holds.
	Limits Limits `json:"limits,omitzero"`
	// Shutdown says how the node leaves.
	Shutdown Shutdown `json:"shutdown,omitzero"`
	// LogLevel is the least level that is logged.
	LogLevel string `json:"logLevel,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error"`
}

// Listen holds the addresses that a node listens on, each IP:port. Port 0 lets
// the kernel choose one.
type Listen struct {
	// Caller is the TCP address for callers' requests.
	Caller string `json:"caller"`
	// Gate is the TCP address for requests from other nodes to the backend
	// server on this host. It is announced, so it must name an IP number of
	// the host.
	Gate string `json:"gate"`
	// Peer is the UDP address for control traffic between nodes. It is
	// announced like Gate.
	Peer string `json:"peer"`
	// Local is the TCP address, on loopback, where backend servers of this
	// host announce themselves, and where metrics, health and the operators'
	// interface are served over plain HTTP.
	Local string `json:"local"`
}

// Advertise holds addresses, each IP:port, at which other nodes reach this one:
// behind an address translation, or when it listens on all addresses. An empty
// one means the address listened on.
type Advertise struct {
	// Gate is the TCP address of the gate.
	Gate string `json:"gate,omitempty"`
	// Peer is the UDP address for control traffic.
	Peer string `json:"peer,omitempty"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Table is the URL of the table service: http or https, with an IP number.
	Table string `json:"table"`
	// Objects is the URL of the object store: http or https, with an IP
	// number.
	Objects string `json:"objects"`
	// Timeout bounds one call to the platform, 10ms to 1m.
	Timeout model.Duration `json:"timeout,omitempty"`
	// Prefix starts every table key and object key that the node writes, so
	// that it touches nothing of others. It ends with a slash.
	Prefix string `json:"prefix,omitempty" jsonschema:"pattern=^([a-z0-9][a-z0-9-]*/)+$,maxLength=128"`
}

// TLS names the certificate files of a node.
type TLS struct {
	// CA is the file with the certificates, in PEM, that sign those of nodes
	// and operators.
	CA string `json:"ca"`
	// Certificate is the file with the node's own certificate, in PEM. Its
	// common name is the node's name.
	Certificate string `json:"certificate"`
	// Key is the file with the certificate's private key, in PEM.
	Key string `json:"key"`
	// ReloadInterval is the time between checks whether the files changed, 1s
	// to 24h.
	ReloadInterval model.Duration `json:"reloadInterval,omitempty"`
}

// Older says where the older system is.
type Older struct {
	// Address is the TCP address of the older system, IP:port.
	Address string `json:"address"`
}

// Control bounds what a node does to keep the configuration current.
type Control struct {
	// BytesPerSecond is the rate of control traffic that the node sends, in
	// bytes per second.
	BytesPerSecond int `json:"bytesPerSecond,omitempty" jsonschema:"minimum=1024,maximum=1073741824"`
	// BurstBytes is how far control traffic may run ahead of its rate, in
	// bytes. It holds at least one message of the largest size.
	BurstBytes int `json:"burstBytes,omitempty" jsonschema:"minimum=262144,maximum=1073741824"`
	// PollInterval is the time between a zone reader's reads of the newest
	// version at the platform, 10ms to 1m.
	PollInterval model.Duration `json:"pollInterval,omitempty"`
	// BeaconInterval is the time between a zone reader's beacons, 10ms to 1m.
	BeaconInterval model.Duration `json:"beaconInterval,omitempty"`
	// MergeInterval is the shortest time between two fetches of the
	// configuration, 0s to 1s. A longer one merges a burst of changes into
	// fewer transfers, for fewer bytes, and brings later changes of the burst
	// into force later. A single change is always fetched at once.
	MergeInterval model.Duration `json:"mergeInterval,omitempty"`
	// Debounce is how long changes of endpoints are gathered before they are
	// sent, 0s to 5s.
	Debounce model.Duration `json:"debounce,omitempty"`
	// LeaseDuration is how long a zone reader's lease holds, 100ms to 5m and
	// at least twice the poll interval.
	LeaseDuration model.Duration `json:"leaseDuration,omitempty"`
	// SuspicionTimeout is how long a node that can't be heard has for
	// refuting it, 100ms to 5m and at least the beacon interval.
	SuspicionTimeout model.Duration `json:"suspicionTimeout,omitempty"`
}

// Limits bound what a node holds.
type Limits struct {
	// HeaderBytes is the largest header of a request, in bytes.
	HeaderBytes int `json:"headerBytes,omitempty" jsonschema:"minimum=4096,maximum=1048576"`
	// MaxPeers is the number of nodes connected for control beyond which
	// further ones are turned away, unless they are needed.
	MaxPeers int `json:"maxPeers,omitempty" jsonschema:"minimum=2,maximum=256"`
	// Connections is the largest number of callers' connections.
	Connections int `json:"connections,omitempty" jsonschema:"minimum=1,maximum=65536"`
	// Queue is the largest number of requests that wait at the gate, whatever
	// the service allows.
	Queue int `json:"queue,omitempty" jsonschema:"minimum=1,maximum=10000"`
}

// Shutdown says how a node leaves.
type Shutdown struct {
	// DrainTimeout bounds the wait for requests in flight, 0s to 1h.
	DrainTimeout model.Duration `json:"drainTimeout,omitempty"`
	// Notice is the time between telling the other nodes and refusing new
	// work, 0s to 1m.
	Notice model.Duration `json:"notice,omitempty"`
}
