// Package measure measures the control plane: fleets of real processes on
// loopback (package fleet), a plain baseline beside them, and the decision cores
// alone at the size that the project is designed for. Results are kept as JSON
// and written into tables of the documentation.
//
// It is a tool of the project's developers and no part of the product.
package measure
