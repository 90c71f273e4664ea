// Package rollout moves a service to another version of its backend servers, on the
// operators' order, and reverts the move if that version turns out bad.
//
// There is no coordinator. Four parts work together:
//
//   - Meter counts the outcomes and durations of the requests that the host's backend server
//     runs.
//   - Core replicates orders, phases and reports of these counts among all nodes. Each node
//     compares the versions by the same counts, and the first one to find a fault in the new
//     version stops it everywhere. The nodes then attempt to write to the store one after
//     the other, in an order that differs between roll-outs; a condition on the row's
//     revision lets only one verdict win.
//   - A Routing holds the backend servers of a service that requests may be sent to.
//   - An Allowance limits the requests that one node sends to a version on trial to a
//     fraction of those that the same node has sent to the other version, so that the limit
//     holds for the whole fleet under any network partition.
package rollout
