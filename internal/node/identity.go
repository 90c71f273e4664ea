package node

import (
	"context"
	"crypto/tls"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/internal/logging"
	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

// identity holds the node's certificates, or none in insecure mode.
type identity struct {
	keys     *security.Keys
	insecure *security.Insecure
}

// maxRefusalLines is the number of refusals that are logged in a second; all are
// counted.
const maxRefusalLines = 10

// newIdentity loads the certificates that the settings name.
func newIdentity(set *settings.Node, logger log.Logger, counts *metrics.Set) (*identity, error) {
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
	strangers := logging.Limit(logger, maxRefusalLines)
	cfg.OnRefused = func(err error) {
		reason := refusalReason(err)
		counts.GetOrCreateCounter(`jacinthgate_certificates_refused_total{reason="` + reason + `"}`).Inc()
		_ = level.Warn(strangers).Log("event", "certificate_refused", "reason", reason, "err", err)
	}
	cfg.OnReload = func(err error) {
		if err != nil {
			_ = level.Error(logger).Log("event", "certificates_not_reloaded", "err", err)
			return
		}
		_ = level.Info(logger).Log("event", "certificates_reloaded")
	}
	keys, err := security.Load(cfg)
	if err != nil {
		return nil, err
	}
	if name := keys.Identity().Name; name != string(set.Node) {
		return nil, &security.WrongNodeError{Have: name, Want: string(set.Node)}
	}
	counts.NewGauge("jacinthgate_certificate_expiry_timestamp_seconds", func() float64 {
		return float64(keys.NotAfter().Unix())
	})
	return &identity{keys: keys}, nil
}

// refusalReason names the type of a refusal for metrics and logs.
func refusalReason(err error) string {
	switch err.(type) {
	case *security.UntrustedError:
		return "stranger"
	case *security.ExpiredError:
		return "expired"
	case *security.RoleError:
		return "role"
	default:
		return "node"
	}
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
	return i.keys.GateServerConfig()
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
