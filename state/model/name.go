package model

import "github.com/cespare/xxhash/v2"

// Limits on documents. They bound memory and message sizes.
const (
	// MaxNameLength is the longest name of an organisation, class, route, service
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
	// MaxHostLength is the longest host name in bytes.
	MaxHostLength = 253
	// MaxPathLength is the longest path prefix or probe path in bytes.
	MaxPathLength = 1024
	// MaxRequests is the largest rate, burst and concurrency, in requests.
	MaxRequests = 10_000_000
	// MaxRetriesPerSecond is the largest RetryBudget.MinPerSecond.
	MaxRetriesPerSecond = 1000
	// MaxEjectedShare is the largest Service.MaxEjected: at least a tenth
	// of the backend servers always remains.
	MaxEjectedShare = 0.9
	// MaxQueueLength is the largest Service.QueueLength and OlderSlots.
	MaxQueueLength = 10_000
)

// NodeID names one node. It comes from the settings and so stays the
// same over restarts.
type NodeID string

// NodeKey is the 64-bit hash of a NodeID. Messages with lists of nodes carry it
// in place of the name.
type NodeKey uint64

// Key returns the node's key.
func (id NodeID) Key() NodeKey { return NodeKey(xxhash.Sum64String(string(id))) }

// Zone names an availability zone.
type Zone string

// Region names a region.
type Region string
