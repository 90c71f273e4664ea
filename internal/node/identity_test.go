package node

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

func TestNodeStartsWithItsOwnCertificateOnly(t *testing.T) {
	ca, out := t.TempDir(), t.TempDir()
	must.NoError(t, security.InitAuthority(ca, "site", time.Hour))
	must.NoError(t, security.IssueNode(ca, "csepel-1", out, time.Hour))
	set := settings.DefaultNode()
	set.TLS = &settings.TLS{
		CA:          filepath.Join(out, security.AuthorityFile),
		Certificate: filepath.Join(out, security.CertificateFile),
		Key:         filepath.Join(out, security.KeyFile),
	}
	set.Node = "csepel-1"
	_, err := newIdentity(set, log.NewNopLogger(), metrics.NewSet())
	must.NoError(t, err)
	set.Node = "csepel-2"
	_, err = newIdentity(set, log.NewNopLogger(), metrics.NewSet())
	var wrong *security.WrongNodeError
	must.True(t, errors.As(err, &wrong))
	must.Eq(t, security.WrongNodeError{Have: "csepel-1", Want: "csepel-2"}, *wrong)
	must.NoError(t, security.IssueOperator(ca, "csepel-2", out, time.Hour))
	_, err = newIdentity(set, log.NewNopLogger(), metrics.NewSet())
	var role *security.RoleError
	must.True(t, errors.As(err, &role))
}
