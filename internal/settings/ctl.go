package settings

import (
	"net/url"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// Ctl holds the settings of jacinthgatectl.
type Ctl struct {
	// Node is the URL of a node's operators' interface: https with tls, or
	// http for listen.local of the same host. It has an IP number.
	Node string `json:"node"`
	// TLS holds the operator's certificates. It is given with https.
	TLS *ClientTLS `json:"tls,omitempty"`
	// Timeout bounds one call to the node, 100ms to 10m.
	Timeout model.Duration `json:"timeout,omitempty"`
}

// ClientTLS names the certificate files of an operator.
type ClientTLS struct {
	// CA is the file with the certificates, in PEM, that sign those of nodes.
	CA string `json:"ca"`
	// Certificate is the file with the operator's certificate, in PEM.
	Certificate string `json:"certificate"`
	// Key is the file with the certificate's private key, in PEM.
	Key string `json:"key"`
}

func (c *Ctl) faults() strictjson.Faults {
	k := new(checker)
	k.url("node", c.Node)
	k.duration("timeout", c.Timeout, minCtlTimeout, maxCtlTimeout)
	if c.TLS != nil {
		k.files("tls", c.TLS.CA, c.TLS.Certificate, c.TLS.Key)
	}
	u, err := url.Parse(c.Node)
	if err != nil {
		return k.faults
	}
	if u.Scheme == schemeHTTPS && c.TLS == nil {
		k.faults.Add("tls", "nothing", "certificates, where node is an https URL")
	}
	if u.Scheme == schemeHTTP && c.TLS != nil {
		k.faults.Add("tls", "certificates", "nothing, where node is an http URL")
	}
	return k.faults
}

// Validate checks settings that were not read from a file as they are. The
// error is a strictjson.Faults.
func (c *Ctl) Validate() error { return c.faults().Err() }
