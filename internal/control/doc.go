// Package control manages the configuration on the platform's store: it accepts
// changes, loads versions and removes old ones. It performs the I/O of the state
// machines of packages accept and collect.
package control
