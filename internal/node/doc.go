// Package node is one whole node: it wires the decision cores to the
// transports. One goroutine, the event loop, owns the control plane's cores and
// carries out their actions; what the path of a request needs is published
// through atomic pointers.
package node
