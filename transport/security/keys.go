package security

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"
)

// Config configures Keys.
type Config struct {
	// AuthorityFile is the PEM file of the accepted authorities. It may hold
	// several, so that an authority can be rotated without an interruption.
	AuthorityFile string
	// CertificateFile is the PEM file of this process's own certificate.
	CertificateFile string
	// KeyFile is the PEM file of the own certificate's private key.
	KeyFile string
	// Role is the role that the own certificate must have. The check makes a
	// wrong file fail at startup instead of in handshakes with peers.
	Role Role
	// Poll is the interval at which Run reads the files. It need not be short:
	// certificates are replaced days before they expire.
	Poll time.Duration
	// OnRefused is called with the reason for each refused peer:
	// *UntrustedError, *ExpiredError, *RoleError or *WrongNodeError. It may be
	// called from any goroutine.
	OnRefused func(error)
	// OnReload is called with nil after new content was loaded, and with a
	// *ReloadError when a reload fails, once for each new fault. It is called
	// from Reload, and so also from Run.
	OnReload func(error)
	// Now returns the time against which certificates are checked.
	Now func() time.Time
}

// defaultPoll is the default of Config.Poll.
const defaultPoll = 10 * time.Second

// DefaultConfig returns the configuration of a node; the paths of the files are
// left empty.
func DefaultConfig() Config {
	return Config{
		Role:      RoleNode,
		Poll:      defaultPoll,
		OnRefused: func(error) {},
		OnReload:  func(error) {},
		Now:       time.Now,
	}
}

// material is what parse derives from one consistent set of the three files. It
// is immutable.
type material struct {
	pool     *x509.CertPool
	own      *tls.Certificate
	identity Identity
}

// contents holds the raw content of the three files.
type contents struct {
	authorities, cert, key []byte
}

func (c contents) hash() [sha256.Size]byte {
	parts := [][]byte{c.authorities, c.cert, c.key}
	return sha256.Sum256(bytes.Join(parts, []byte{0}))
}

// Keys holds the own certificate and the accepted authorities, reloads them when
// their files change, and provides the TLS configurations that use them. It is
// safe for concurrent use, except for Reload.
type Keys struct {
	cfg     Config
	current atomic.Pointer[material]
	// loaded is the hash of the content in use; reported identifies the last
	// fault reported, and is empty while the files are good. Only Load, Reload
	// and report use them.
	loaded   [sha256.Size]byte
	reported string
}

// Load creates Keys from the files of cfg. The errors are *FileError,
// *UntrustedError, *ExpiredError and *RoleError.
func Load(cfg Config) (*Keys, error) {
	k := &Keys{cfg: cfg}
	read, err := k.read()
	if err != nil {
		return nil, err
	}
	m, err := k.parse(read)
	if err != nil {
		return nil, err
	}
	k.loaded = read.hash()
	k.current.Store(m)
	return k, nil
}

// Identity returns the identity of the own certificate.
func (k *Keys) Identity() Identity { return k.current.Load().identity }

// NotAfter returns the end of the own certificate's validity.
func (k *Keys) NotAfter() time.Time { return k.current.Load().own.Leaf.NotAfter }

// Run calls Reload at every interval Poll until ctx is done, and returns the
// error of ctx.
func (k *Keys) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.cfg.Poll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.Reload()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Reload reads the files once. It loads changed content if all of it is valid;
// otherwise the content loaded before stays in use. It passes the outcome to
// OnReload. It must not be called concurrently, nor while Run runs.
func (k *Keys) Reload() {
	read, err := k.read()
	hash := read.hash()
	if err != nil {
		k.report(err.Error(), err)
		return
	}
	if hash == k.loaded {
		k.reported = ""
		return
	}
	m, err := k.parse(read)
	if err != nil {
		k.report(string(hash[:]), err)
		return
	}
	k.loaded, k.reported = hash, ""
	k.current.Store(m)
	k.cfg.OnReload(nil)
}

// report passes err to OnReload, unless fault is the one reported last. fault
// is the error text for a file that can't be read, and the hash of the content
// for content that does not parse. Reload still parses the same content again
// each time, since a certificate may become valid later.
func (k *Keys) report(fault string, err error) {
	if fault == k.reported {
		return
	}
	k.reported = fault
	k.cfg.OnReload(&ReloadError{Err: err})
}

func (k *Keys) read() (contents, error) {
	var c contents
	var err error
	if c.authorities, err = readFile(k.cfg.AuthorityFile); err != nil {
		return c, err
	}
	if c.cert, err = readFile(k.cfg.CertificateFile); err != nil {
		return c, err
	}
	c.key, err = readFile(k.cfg.KeyFile)
	return c, err
}

// parse parses the files and checks that they match: the key belongs to the
// certificate, and a peer with the same authorities would accept the
// certificate.
func (k *Keys) parse(c contents) (*material, error) {
	authorities, err := parseCertificates(c.authorities)
	if err != nil {
		return nil, &FileError{File: k.cfg.AuthorityFile, Err: err}
	}
	pool := x509.NewCertPool()
	for _, cert := range authorities {
		if !cert.IsCA {
			return nil, &FileError{File: k.cfg.AuthorityFile, Err: &FormatError{Want: "authorities only"}}
		}
		pool.AddCert(cert)
	}
	chain, err := parseCertificates(c.cert)
	if err != nil {
		return nil, &FileError{File: k.cfg.CertificateFile, Err: err}
	}
	own, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return nil, &FileError{File: k.cfg.KeyFile, Err: err}
	}
	own.Leaf = chain[0]
	id, err := verify(chain, pool, k.cfg.Now(), k.cfg.Role)
	if err != nil {
		return nil, err
	}
	return &material{pool: pool, own: &own, identity: id}, nil
}
