// Package operator defines the JSON messages that the operator's tool and a node
// exchange by HTTP, under /v1/ on the node's operator address.
package operator
