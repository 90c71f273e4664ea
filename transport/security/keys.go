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
	// several, so that one can replace another without an interruption.
	AuthorityFile string
	// CertificateFile is the PEM file of the own certificate.
	CertificateFile string
	// KeyFile is the PEM file of the own key.
	KeyFile string
	// Role is the role that the own certificate must have, so that a wrong
	// file is found at the start and not by the peers.
	Role Role
	// Poll is the time between two looks at the files. Certificates are
	// replaced days before they expire, so a slow poll does.
	Poll time.Duration
	// OnRefused gets each refusal of a peer: *StrangerError, *ExpiredError,
	// *RoleError or *WrongNodeError. It is called from any goroutine.
	OnRefused func(error)
	// OnReload gets nil after new files were taken over, and a *ReloadError
	// once for each new content that was not. It is called from Run.
	OnReload func(error)
	// Now is the clock that certificates are checked against.
	Now func() time.Time
}

// defaultPoll is the default time between two looks at the files.
const defaultPoll = 10 * time.Second

// DefaultConfig returns a node's configuration without files.
func DefaultConfig() Config {
	return Config{
		Role:      RoleNode,
		Poll:      defaultPoll,
		OnRefused: func(error) {},
		OnReload:  func(error) {},
		Now:       time.Now,
	}
}

// material is one consistent set of the three files. It is never changed.
type material struct {
	pool     *x509.CertPool
	own      *tls.Certificate
	identity Identity
}

// contents is what the files hold, as read.
type contents struct {
	authorities, cert, key []byte
}

func (c contents) hash() [sha256.Size]byte {
	parts := [][]byte{c.authorities, c.cert, c.key}
	return sha256.Sum256(bytes.Join(parts, []byte{0}))
}

// Keys holds the own certificate and the accepted authorities and follows
// their files. It is safe for concurrent use.
type Keys struct {
	cfg     Config
	current atomic.Pointer[material]
	// loaded is the hash of the content in use; reported names the fault that
	// was reported since then. Only Load and Reload use them.
	loaded   [sha256.Size]byte
	reported string
}

// Load reads the files for the first time. The errors are *FileError,
// *StrangerError, *ExpiredError and *RoleError.
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

// Run looks at the files from time to time until ctx ends.
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

// Reload looks at the files once and takes over new content when all of it is
// good; otherwise the old stays in use. The outcome goes to OnReload. It must
// not be called from two goroutines at one time, Run included.
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

// report passes on a fault once, until the files are good again. A fault is a
// file that can't be read, or one content. The content is tried again at each
// look: a certificate may become valid later.
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

// parse checks that the files fit together: the key belongs to the
// certificate, and a peer with the same authorities would accept it.
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
