// Package distribute decides how a node learns of a new version of the
// configuration, fetches it, passes it on and reports that it is in force.
//
// In each availability zone one node, the reader, polls the platform and floods
// beacons that carry the newest version. Every node sends its neighbours an
// advert of the version that it holds, and a neighbour that lacks this version
// fetches it. Acknowledgements travel back along the path on which the reader's
// newest beacon arrived, and the reader floods a status of its zone.
//
// The package is a pure core: see package core for the rules of such a core.
package distribute
