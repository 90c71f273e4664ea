package node

import (
	"context"
	"net/http"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

// localOperator stands for whoever calls the host's own interface, which asks
// for no certificate.
const localOperator = "local"

type operatorKey struct{}

// withOperator notes for each call which operator sent it: the name in the
// certificate, which the TLS handshake has checked.
func withOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := localOperator
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			id, _ := security.IdentityOf(r.TLS.PeerCertificates[0]) // the handshake refuses one without
			name = id.Name
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// operatorOf returns who sent the call.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string) // empty without withOperator
	return name
}

// audit logs which operator changed what.
type audit struct{ log log.Logger }

func (a audit) change(ctx context.Context, id string, resp *operator.ApplyResponse, err error) {
	if err != nil {
		_ = level.Warn(a.log).Log("event", "change_not_accepted", "operator", operatorOf(ctx), "change", id, "code", codeOf(err), "err", brief(err))
		return
	}
	_ = level.Info(a.log).Log("event", "change_accepted", "operator", operatorOf(ctx), "change", id, "version", resp.Version, "repeated", resp.Repeated)
}

func (a audit) drain(ctx context.Context, req *operator.DrainRequest, err error) {
	_ = level.Info(a.log).Log("event", "drain_asked", "operator", operatorOf(ctx), "target", req.Node, "drain", req.Drain, "err", err)
}

// maxLogged bounds an error's text in the log, in bytes: that of an invalid
// change lists up to 100 faults, which the operator is told.
const maxLogged = 500

func brief(err error) string {
	text := err.Error()
	if len(text) <= maxLogged {
		return text
	}
	return strings.ToValidUTF8(text[:maxLogged], "") + "..."
}

func codeOf(err error) operator.Code {
	var p *operator.Problem
	if errors.As(err, &p) {
		return p.Code
	}
	return operator.CodeRefused
}
