package security

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// testSite is a site whose authority is in the directory ca, with a node whose
// files are in out. It records what Keys reports; now is the clock of its Keys.
type testSite struct {
	t       *testing.T
	ca, out string
	now     time.Time
	refused []error
	reloads []error
}

func newTestSite(t *testing.T, id string) *testSite {
	p := &testSite{t: t, ca: t.TempDir(), out: t.TempDir(), now: time.Now()}
	must.NoError(t, InitAuthority(p.ca, "site", time.Hour))
	must.NoError(t, IssueNode(p.ca, id, p.out, time.Hour))
	return p
}

func (p *testSite) config() Config {
	cfg := DefaultConfig()
	cfg.AuthorityFile = filepath.Join(p.out, AuthorityFile)
	cfg.CertificateFile = filepath.Join(p.out, CertificateFile)
	cfg.KeyFile = filepath.Join(p.out, KeyFile)
	cfg.Now = func() time.Time { return p.now }
	cfg.OnRefused = func(err error) { p.refused = append(p.refused, err) }
	cfg.OnReload = func(err error) { p.reloads = append(p.reloads, err) }
	return cfg
}

func (p *testSite) load() *Keys {
	p.t.Helper()
	k, err := Load(p.config())
	must.NoError(p.t, err)
	return k
}

// handshake runs a TLS handshake and returns the error of each side. It uses
// TCP, as on an unbuffered pipe both sides would block if they sent an alert at
// the same time.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer clientConn.Close()
	serverConn, err := l.Accept()
	must.NoError(t, err)
	defer serverConn.Close()
	done := make(chan error, 1)
	go func() {
		done <- tls.Server(serverConn, server).Handshake()
		serverConn.Close()
	}()
	clientErr = tls.Client(clientConn, client).Handshake()
	if clientErr != nil {
		clientConn.Close()
	}
	return <-done, clientErr
}

func TestNodesOfOneSiteAcceptEachOther(t *testing.T) {
	p := newTestSite(t, "node-1")
	k := p.load()
	must.Eq(t, Identity{Role: RoleNode, Name: "node-1"}, k.Identity())
	serverErr, clientErr := handshake(t, k.ServerConfig(), k.ClientConfig("node-1"))
	must.NoError(t, serverErr)
	must.NoError(t, clientErr)
	must.SliceEmpty(t, p.refused)
	for _, name := range []string{KeyFile, CertificateFile, AuthorityFile} {
		info, err := os.Stat(filepath.Join(p.out, name))
		must.NoError(t, err)
		must.Eq(t, 0o600, info.Mode().Perm())
	}
}

func TestRefusals(t *testing.T) {
	p := newTestSite(t, "node-1")
	k := p.load()
	untrusted := newTestSite(t, "node-1").load()
	operator := &testSite{t: t, ca: p.ca, out: t.TempDir(), now: p.now}
	must.NoError(t, IssueOperator(p.ca, "op", operator.out, time.Hour))
	cfg := operator.config()
	_, err := Load(cfg)
	must.True(t, is[*RoleError](err))
	cfg.Role = RoleOperator
	op, err := Load(cfg)
	must.NoError(t, err)
	ephemeral, err := Ephemeral()
	must.NoError(t, err)

	serverErr, clientErr := handshake(t, k.OperatorServerConfig(), op.OperatorClientConfig("node-1"))
	must.NoError(t, serverErr)
	must.NoError(t, clientErr)
	tests := []struct {
		name           string
		server, client *tls.Config
		byServer       func(error) bool
		byClient       func(error) bool
	}{
		{"untrusted client", k.ServerConfig(), ephemeralClient(untrusted, ephemeral), is[*UntrustedError], nil},
		{"untrusted server", untrusted.ServerConfig(), k.ClientConfig(""), nil, is[*UntrustedError]},
		{"ephemeral server", ephemeral.ServerConfig(), k.ClientConfig(""), nil, is[*UntrustedError]},
		{"operator as node", k.ServerConfig(), op.ClientConfig(""), is[*RoleError], nil},
		{"node as operator", k.OperatorServerConfig(), k.ClientConfig(""), is[*RoleError], nil},
		{"other node", k.ServerConfig(), k.ClientConfig("node-2"), nil, is[*WrongNodeError]},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, test.server, test.client)
			if test.byServer != nil {
				must.True(t, test.byServer(serverErr), must.Sprint(serverErr))
				must.True(t, test.byServer(p.refused[len(p.refused)-1]))
			}
			if test.byClient != nil {
				must.True(t, test.byClient(clientErr), must.Sprint(clientErr))
			}
		})
	}
	serverErr, _ = handshake(t, k.ServerConfig(), ephemeral.ClientConfig())
	must.Error(t, serverErr)

	p.now = p.now.Add(time.Hour + time.Minute)
	serverErr, _ = handshake(t, k.ServerConfig(), op.ClientConfig(""))
	must.True(t, is[*ExpiredError](serverErr))
	_, err = Load(p.config())
	must.True(t, is[*ExpiredError](err))
}

// ephemeralClient returns a client configuration that accepts every server but
// presents the certificate of k.
func ephemeralClient(k *Keys, e *Insecure) *tls.Config {
	cfg := e.ClientConfig()
	cfg.GetClientCertificate = k.ClientConfig("").GetClientCertificate
	return cfg
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

func TestRotationWithoutRestart(t *testing.T) {
	p, q := newTestSite(t, "node-1"), newTestSite(t, "node-2")
	k, other := p.load(), q.load()
	accepts := func(want bool) {
		t.Helper()
		serverErr, clientErr := handshake(t, other.ServerConfig(), k.ClientConfig(""))
		must.Eq(t, want, serverErr == nil && clientErr == nil)
	}
	accepts(false)

	// Both nodes accept both authorities; their certificates are unchanged.
	both := append(read(t, p.ca, AuthorityFile), read(t, q.ca, AuthorityFile)...)
	must.NoError(t, writeFile(filepath.Join(p.ca, AuthorityFile), both))
	must.NoError(t, writeFile(filepath.Join(p.out, AuthorityFile), both))
	must.NoError(t, writeFile(filepath.Join(q.out, AuthorityFile), both))
	k.Reload()
	other.Reload()
	accepts(true)

	// The authority whose key is in the directory issues the new certificate,
	// although the authority file holds both authorities.
	before := k.current.Load().own.Leaf.SerialNumber
	must.NoError(t, IssueNode(p.ca, "node-1", p.out, time.Hour))
	k.Reload()
	must.NotEq(t, before, k.current.Load().own.Leaf.SerialNumber)
	accepts(true)

	// The first authority is removed: its certificates are refused.
	must.NoError(t, writeFile(filepath.Join(q.out, AuthorityFile), read(t, q.ca, AuthorityFile)))
	other.Reload()
	accepts(false)
	must.NoError(t, IssueNode(q.ca, "node-1", p.out, time.Hour))
	k.Reload()
	accepts(true)
	must.Eq(t, []error{nil, nil, nil}, p.reloads)
}

func TestReloadRejectsInvalidFiles(t *testing.T) {
	p := newTestSite(t, "node-1")
	k := p.load()
	files := []string{AuthorityFile, CertificateFile, KeyFile}
	bad := map[string][]byte{"garbage": []byte("x"), "empty": nil, "stranger's": read(t, newTestSite(t, "node-1").out, CertificateFile)}
	mixed := append(read(t, p.ca, AuthorityFile), read(t, newTestSite(t, "node-2").out, CertificateFile)...)
	bad["node among the authorities"] = mixed
	for name, content := range bad {
		for _, file := range files {
			good := read(t, p.out, file)
			must.NoError(t, writeFile(filepath.Join(p.out, file), content))
			p.reloads = nil
			k.Reload()
			k.Reload()
			must.Len(t, 1, p.reloads, must.Sprint(name, file))
			must.True(t, is[*ReloadError](p.reloads[0]))
			serverErr, clientErr := handshake(t, k.ServerConfig(), k.ClientConfig("node-1"))
			must.NoError(t, serverErr)
			must.NoError(t, clientErr)
			must.NoError(t, writeFile(filepath.Join(p.out, file), good))
			k.Reload()
			must.Len(t, 1, p.reloads)
		}
	}

	// An empty file and a missing file are different faults, and each is
	// reported again after the file was valid in between.
	p.reloads = nil
	key := read(t, p.out, KeyFile)
	for range 2 {
		must.NoError(t, writeFile(filepath.Join(p.out, KeyFile), nil))
		k.Reload()
		must.NoError(t, os.Remove(filepath.Join(p.out, KeyFile)))
		k.Reload()
		k.Reload()
		must.NoError(t, writeFile(filepath.Join(p.out, KeyFile), key))
		k.Reload()
	}
	must.Len(t, 4, p.reloads)
	must.True(t, is[*FileError](p.reloads[1]))
}

func TestRunPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestSite(t, "node-1")
		k := p.load()
		ctx, cancel := context.WithTimeout(t.Context(), defaultPoll+1)
		defer cancel()
		must.NoError(t, IssueNode(p.ca, "node-1", p.out, time.Hour))
		must.ErrorIs(t, k.Run(ctx), context.DeadlineExceeded)
		must.Eq(t, []error{nil}, p.reloads)
	})
}

func TestAuthorityFiles(t *testing.T) {
	p := newTestSite(t, "node-1")
	must.True(t, is[*FileError](InitAuthority(p.ca, "site", time.Hour)))
	must.True(t, is[*NameError](IssueNode(p.ca, "a/b", p.out, time.Hour)))
	must.True(t, is[*NameError](IssueOperator(p.ca, "", p.out, time.Hour)))
	must.NoError(t, IssueNode(p.ca, "node-1", p.out, 2*time.Hour))
	infos, err := Describe(filepath.Join(p.out, CertificateFile))
	must.NoError(t, err)
	authority, err := Describe(filepath.Join(p.ca, AuthorityFile))
	must.NoError(t, err)
	must.Eq(t, RoleNode, infos[0].Role)
	must.Eq(t, "node-1", infos[0].Name)
	must.Eq(t, authority[0].NotAfter, infos[0].NotAfter)
	must.True(t, authority[0].Authority && !infos[0].Authority)
	_, err = Describe(filepath.Join(p.out, KeyFile))
	must.True(t, is[*FormatError](err))
}

func read(t *testing.T, dir, file string) []byte {
	t.Helper()
	content, err := readFile(filepath.Join(dir, file))
	must.NoError(t, err)
	return content
}
