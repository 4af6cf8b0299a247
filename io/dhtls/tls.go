// Package dhtls configures TLS for listeners and clients, and reloads
// certificates when their files change.
package dhtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of the files for
// changes.
const checkInterval = time.Second

// Options are the files of an Identity.
type Options struct {
	// CertFile contains this process's certificate chain in PEM; empty if only
	// ClientConfig is used.
	CertFile string
	// KeyFile contains the private key of the certificate in PEM.
	KeyFile string
	// CAFile contains the certificates of the trusted authorities in PEM.
	CAFile string
}

// FileError reports a file that can't be used.
type FileError struct {
	file  string
	cause error
}

// File returns the file's path.
func (e FileError) File() string { return e.file }

// Error implements error.
func (e FileError) Error() string {
	return fmt.Sprintf("%s: %v; use PEM files for the certificate, its key and the certificate authority", e.file, e.cause)
}

// Unwrap returns the cause.
func (e FileError) Unwrap() error { return e.cause }

// Identity is a certificate with its key and the trusted authorities. It follows
// changes of the files. A changed file that can't be loaded, for example because
// it is only partly written, doesn't replace the content loaded before; the
// identity tries again at the next check.
type Identity struct {
	options     Options
	mutex       sync.Mutex
	lastCheck   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// New loads the files, or returns a FileError.
func New(o Options) (*Identity, error) {
	i := &Identity{options: o}
	if err := i.load(); err != nil {
		return nil, err
	}
	i.modTimes, i.lastCheck = i.fileModTimes(), time.Now()
	return i, nil
}

func (i *Identity) load() error {
	if i.options.CertFile != "" {
		certificate, err := tls.LoadX509KeyPair(i.options.CertFile, i.options.KeyFile)
		if err != nil {
			return FileError{i.options.CertFile, err}
		}
		i.certificate = &certificate
	}
	pem, err := os.ReadFile(i.options.CAFile)
	if err != nil {
		return FileError{i.options.CAFile, err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return FileError{i.options.CAFile, errors.New("the file contains no certificate")}
	}
	i.caPool = pool
	return nil
}

// fileModTimes returns the modification times of the files, zero for a file
// that can't be read.
func (i *Identity) fileModTimes() [3]time.Time {
	var t [3]time.Time
	for n, name := range []string{i.options.CertFile, i.options.KeyFile, i.options.CAFile} {
		if info, err := os.Stat(name); err == nil {
			t[n] = info.ModTime()
		}
	}
	return t
}

// current returns the certificate and the trusted authorities, reloaded if the
// files have changed and the last check is at least checkInterval ago.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if time.Since(i.lastCheck) >= checkInterval {
		i.lastCheck = time.Now()
		if t := i.fileModTimes(); t != i.modTimes && i.load() == nil {
			i.modTimes = t
		}
	}
	return i.certificate, i.caPool
}

// ServerConfig returns the configuration of a listener.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := i.current()
			return certificate, nil
		},
	}
}

// ClientConfig returns the configuration of a client. The server's certificate
// must chain to a trusted authority and be valid for the address that was
// dialled.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// The built-in verification uses a fixed set of authorities.
		// VerifyConnection does the same checks with the current content of
		// CAFile.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify,
	}
}

func (i *Identity) verify(s tls.ConnectionState) error {
	_, pool := i.current()
	o := x509.VerifyOptions{Roots: pool, DNSName: s.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}
