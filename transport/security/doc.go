// Package security gives the nodes and operators of a site their identities:
// the site's certificate authority, the certificates it issues, and the mutual
// TLS configurations that check them.
//
// A certificate's identity is its URI, "jacinthgate:node/<id>" or
// "jacinthgate:operator/<name>". A node's certificate also carries the node id
// as its only DNS name. Nodes connect to each other by IP address, so the TLS
// configurations check the identity instead of a host name.
//
// Certificates are checked only in the TLS handshake. A connection that is open
// when a certificate expires or a certificate authority is removed stays open
// until one side closes it.
package security
