package operator

import "github.com/jacinthgate/jacinthgate/state/model"

// Version is the JSON form of a version's number and hash.
type Version struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// ZoneProgress is how many nodes of one availability zone hold a version.
type ZoneProgress struct {
	Zone model.Zone `json:"zone"`
	// Version is the newest version on which the zone's reader has reported.
	Version uint64 `json:"version"`
	// Live and Holding are the numbers of the zone's live nodes and of those that
	// hold Version.
	Live    uint32 `json:"live"`
	Holding uint32 `json:"holding"`
	// Missing names nodes that don't hold Version yet; the list is capped.
	Missing []model.NodeID `json:"missing,omitempty"`
	// Rejections lists nodes that have rejected Version.
	Rejections []Rejection `json:"rejections,omitempty"`
	// CutOff is true if no report from the zone has arrived for some time.
	CutOff bool `json:"cutOff"`
	// AgeMillis is the age of the newest report, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
	// Lag is the number of versions by which Version is behind the requested one
	// or, in a Status, behind the newest that the responding node has learned of.
	Lag uint64 `json:"lag"`
}

// Rejection is a node's rejection of a version, with its reason.
type Rejection struct {
	Node    model.NodeID `json:"node"`
	Version uint64       `json:"version"`
	Reason  string       `json:"reason"`
}

// Progress is the response to PathProgress: whether a version is in force on every
// live node.
type Progress struct {
	Version uint64 `json:"version"`
	// InForce is true if no zone is cut off and every live node of every zone
	// holds Version or a newer one.
	InForce bool           `json:"inForce"`
	Zones   []ZoneProgress `json:"zones"`
}

// EndpointCount counts one service's backend servers in one zone.
type EndpointCount struct {
	Service  string     `json:"service"`
	Zone     model.Zone `json:"zone"`
	Serving  int        `json:"serving"`
	Draining int        `json:"draining"`
	Suspect  int        `json:"suspect"`
	Failed   int        `json:"failed"`
}

// NodeStatus is the state of one node as recorded by the responding node.
type NodeStatus struct {
	Node        model.NodeID `json:"node"`
	Zone        model.Zone   `json:"zone"`
	State       string       `json:"state"`
	Service     string       `json:"service,omitempty"`
	Draining    bool         `json:"draining,omitempty"`
	Incarnation uint64       `json:"incarnation"`
}

// Status is the response to PathStatus: the responding node's view of the mesh.
type Status struct {
	Node      model.NodeID    `json:"node"`
	Zone      model.Zone      `json:"zone"`
	Ready     bool            `json:"ready"`
	Held      Version         `json:"held"`
	Head      Version         `json:"head"`
	Reader    bool            `json:"reader"`
	Gateway   bool            `json:"gateway"`
	Zones     []ZoneProgress  `json:"zones"`
	Endpoints []EndpointCount `json:"endpoints"`
	Nodes     []NodeStatus    `json:"nodes"`
}
