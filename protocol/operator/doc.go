// Package operator defines the JSON messages between the operator's tool and a
// node: HTTP under /v1/ on the node's operator address.
package operator
