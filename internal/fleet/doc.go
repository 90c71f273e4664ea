// Package fleet starts a small fleet of real processes on loopback: stand-in of
// the platform, nodes and stand-ins of backend servers. It serves the
// demonstration, the measurements and the tests that kill and freeze processes.
// It is a tool of the project's developers and no part of the product, whose
// processes start no others.
//
// Each host has a loopback address of its own, 127.B.ZONE.HOST, where B is
// chosen per fleet, so that fleets don't meet.
package fleet
