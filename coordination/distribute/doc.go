// Package distribute decides how a node learns of a new version of the
// configuration, gets it, passes it on and reports that it is in force.
//
// One node per availability zone, the reader, polls the platform and floods
// beacons. Every node tells its neighbours which version it holds; a neighbour
// that lacks it fetches it. Acknowledgements travel back along the way that the
// reader's newest beacon came, and the reader floods a status of its zone.
//
// The package is a pure core: see package core for the rules of such a core.
package distribute
