// Package model defines the configuration documents that operators write:
// one Contract for each organisation and one Service for each service.
//
// The package holds plain data, its strict parsing and its validation. It
// performs no I/O and depends on no other package of the project than
// state/strictjson, so that every layer may import it.
package model
