package model

import "github.com/cespare/xxhash/v2"

// Limits on documents. They bound memory and message sizes.
const (
	// MaxNameLength is the longest name of a customer, class, route, service
	// or node, in bytes.
	MaxNameLength = 63
	// MaxWeight is the largest weight.
	MaxWeight = 1000
	// MaxRoutes is the largest number of routes of one contract.
	MaxRoutes = 256
	// MaxClasses is the largest number of classes of one contract.
	MaxClasses = 16
	// MaxHosts is the largest number of hosts of one contract.
	MaxHosts = 64
)

// NodeID names one node. It is stable over restarts: the settings give it.
type NodeID string

// NodeKey is a NodeID's 64-bit hash, used where a list of nodes is sent.
type NodeKey uint64

// Key returns the node's key.
func (id NodeID) Key() NodeKey { return NodeKey(xxhash.Sum64String(string(id))) }

// Zone names an availability zone.
type Zone string

// Region names a region.
type Region string
