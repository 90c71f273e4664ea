// Package control drives the decisions about the configuration over the
// platform: it accepts changes, loads versions and removes old ones.
package control
