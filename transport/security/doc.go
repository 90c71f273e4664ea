// Package security gives the nodes and operators of a site their identities:
// the site's certificate authority, the certificates it issues, and the mutual
// TLS configurations that check them.
//
// A certificate's identity is its URI, "jacinthgate:node/<id>" or
// "jacinthgate:operator/<name>". A node's certificate also carries the node id
// as its only DNS name. Nodes reach each other by IP number, so host names are
// not checked; the identity is.
//
// Certificates are checked when a connection is made. A connection that is
// open when a certificate expires or a certificate authority is withdrawn
// stays open until one side closes it.
package security
