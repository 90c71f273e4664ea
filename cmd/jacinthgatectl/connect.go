package main

import (
	"crypto/tls"
	"flag"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

// nodeFlags are the flags of every verb that calls a node.
type nodeFlags struct {
	settings string
	node     string
}

func (n *nodeFlags) register(f *flag.FlagSet) {
	f.StringVar(&n.settings, "settings", "", "JSON settings `file` of the tool (node, tls, timeout)")
	f.StringVar(&n.node, "node", "", "operator `URL` of a node, such as http://127.0.0.1:7004; overrides the settings")
}

// defaultTimeout bounds one call when there is no settings file.
const defaultTimeout = 15 * time.Second

// client returns a client of the chosen node.
func (n *nodeFlags) client() (*operatorclient.Client, error) {
	set := &settings.Ctl{}
	if n.settings != "" {
		s, err := settings.LoadCtl(n.settings)
		if err != nil {
			return nil, err
		}
		set = s
	}
	if n.node != "" {
		set.Node = n.node
	}
	if set.Node == "" {
		return nil, &BadFlagError{Flag: "node", Found: "", Allowed: "the operator URL of a node"}
	}
	timeout := set.Timeout.Std()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	tc, err := clientTLS(set)
	if err != nil {
		return nil, err
	}
	hc := &http.Client{Timeout: timeout, Transport: &http.Transport{TLSClientConfig: tc}}
	return operatorclient.New(strings.TrimSuffix(set.Node, "/"), hc), nil
}

func clientTLS(set *settings.Ctl) (*tls.Config, error) {
	if set.TLS == nil {
		return nil, nil
	}
	keys, err := security.Load(security.Config{
		AuthorityFile:   set.TLS.CA,
		CertificateFile: set.TLS.Certificate,
		KeyFile:         set.TLS.Key,
		Role:            security.RoleOperator,
	})
	if err != nil {
		return nil, err
	}
	return keys.OperatorClientConfig(""), nil
}
