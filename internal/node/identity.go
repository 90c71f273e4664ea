package node

import (
	"context"
	"crypto/tls"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

// identity holds the node's certificates, or none in insecure mode.
type identity struct {
	keys     *security.Keys
	insecure *security.Insecure
}

// newIdentity loads the certificates that the settings name.
func newIdentity(set *settings.Node, logger log.Logger) (*identity, error) {
	if set.TLS == nil {
		in, err := security.Ephemeral()
		return &identity{insecure: in}, err
	}
	cfg := security.DefaultConfig()
	cfg.AuthorityFile = set.TLS.CA
	cfg.CertificateFile = set.TLS.Certificate
	cfg.KeyFile = set.TLS.Key
	cfg.Role = security.RoleNode
	cfg.Poll = set.TLS.ReloadInterval.Std()
	cfg.OnRefused = func(err error) {
		_ = level.Warn(logger).Log("event", "certificate_refused", "err", err)
	}
	cfg.OnReload = func(err error) {
		_ = level.Info(logger).Log("event", "certificates_reloaded", "err", err)
	}
	keys, err := security.Load(cfg)
	return &identity{keys: keys}, err
}

// run follows the certificates' files until ctx ends.
func (i *identity) run(ctx context.Context) error {
	if i.keys != nil {
		return i.keys.Run(ctx)
	}
	<-ctx.Done()
	return nil
}

// gateServer returns the configuration of the gate's server; nil for plain HTTP.
func (i *identity) gateServer() *tls.Config {
	if i.keys == nil {
		return nil
	}
	return i.keys.ServerConfig()
}

// gateClient returns the configuration for calls to gates; nil for plain HTTP.
func (i *identity) gateClient() *tls.Config {
	if i.keys == nil {
		return nil
	}
	return i.keys.OperatorClientConfig("")
}

// operatorServer returns the configuration of the operators' interface; nil for
// plain HTTP.
func (i *identity) operatorServer() *tls.Config {
	if i.keys == nil {
		return nil
	}
	return i.keys.OperatorServerConfig()
}

// gateScheme is the URL scheme of gates.
func (i *identity) gateScheme() string {
	if i.keys == nil {
		return "http"
	}
	return "https"
}
