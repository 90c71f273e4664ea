package main

import (
	"crypto/tls"
	"flag"
	"net/http"
	"strings"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

// nodeFlags are the flags of every verb that calls a node.
type nodeFlags struct {
	settings string
	node     string
}

func (n *nodeFlags) register(f *flag.FlagSet) {
	f.StringVar(&n.settings, "settings", "", "JSON settings `file` of the tool (node, tls, timeout)")
	f.StringVar(&n.node, "node", "", "operator `URL` of a node, such as http://127.0.0.1:8082; overrides the settings")
}

// client returns a client of the chosen node.
func (n *nodeFlags) client() (*operatorclient.Client, error) {
	set, err := n.load()
	if err != nil {
		return nil, err
	}
	tc, err := clientTLS(set)
	if err != nil {
		return nil, err
	}
	hc := &http.Client{Timeout: set.Timeout.Std(), Transport: forward.CheckedTransport(&http.Transport{TLSClientConfig: tc})}
	return operatorclient.New(strings.TrimSuffix(set.Node, "/"), hc), nil
}

// load reads the settings, if there are any; -node stands above them.
func (n *nodeFlags) load() (*settings.Ctl, error) {
	set := settings.DefaultCtl()
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
		return nil, &BadFlagError{Flag: "node", Found: "", Allowed: "the operator URL of a node, here or in -settings"}
	}
	return set, set.Validate()
}

func clientTLS(set *settings.Ctl) (*tls.Config, error) {
	if set.TLS == nil {
		return nil, nil
	}
	cfg := security.DefaultConfig()
	cfg.AuthorityFile = set.TLS.CA
	cfg.CertificateFile = set.TLS.Certificate
	cfg.KeyFile = set.TLS.Key
	cfg.Role = security.RoleOperator
	keys, err := security.Load(cfg)
	if err != nil {
		return nil, err
	}
	return keys.OperatorClientConfig(""), nil
}
