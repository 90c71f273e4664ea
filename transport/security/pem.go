package security

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// The PEM block types in use.
const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// Modes of the files and directories written: only the owner has access.
const (
	fileMode = 0o600
	dirMode  = 0o700
)

func encodePEM(block string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	return encodePEM(blockKey, der), nil
}

// parseCertificates returns all certificates of a PEM file, skipping other
// blocks. It returns a *FormatError if there are none.
func parseCertificates(content []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for {
		var block *pem.Block
		block, content = pem.Decode(content)
		if block == nil {
			break
		}
		if block.Type != blockCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, err
		}
		certs = append(certs, cert)
	}
	if len(certs) == 0 {
		return nil, &FormatError{Want: "a certificate in PEM"}
	}
	return certs, nil
}

func parseKey(content []byte) (*ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(content)
	if block == nil || block.Type != blockKey {
		return nil, &FormatError{Want: "a private key in PEM"}
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, err
	}
	private, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, &FormatError{Want: "an ECDSA key"}
	}
	return private, nil
}

func readFile(file string) ([]byte, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	return content, nil
}

// writeFile replaces a file atomically: a reader gets either the old or the
// new content, never a part.
func writeFile(file string, content []byte) error {
	if err := replaceFile(file, content); err != nil {
		return &FileError{File: file, Err: err}
	}
	return nil
}

func replaceFile(file string, content []byte) error {
	dir := filepath.Dir(file)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	temp, err := os.CreateTemp(dir, filepath.Base(file)+".*.tmp") // mode 0600
	if err != nil {
		return err
	}
	defer os.Remove(temp.Name())
	if _, err := temp.Write(content); err != nil {
		temp.Close()
		return err
	}
	if err := temp.Close(); err != nil {
		return err
	}
	if err := os.Chmod(temp.Name(), fileMode); err != nil {
		return err
	}
	return os.Rename(temp.Name(), file)
}

// createFile writes a new file. It returns a *FileError if the file exists.
func createFile(file string, content []byte) error {
	if err := os.MkdirAll(filepath.Dir(file), dirMode); err != nil {
		return &FileError{File: file, Err: err}
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	_, err = f.Write(content)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	return nil
}
