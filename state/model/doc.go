// Package model defines the configuration documents that operators write:
// one Contract for each customer and one Service for each service.
//
// The package holds plain data and its validation. It performs no I/O and
// depends on no other package of the project, so every layer may import it.
package model
