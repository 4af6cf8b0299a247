// Package dhtls gives listeners and clients certificates that are read again
// when their files change.
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

// checkInterval is how often files are looked at, at most.
const checkInterval = time.Second

// Options are the files of an identity and of those that are trusted.
type Options struct {
	// CertFile and KeyFile hold this process's certificate chain and key, PEM.
	CertFile string
	KeyFile  string
	// CAFile holds the certificates that others' must lead to, PEM.
	CAFile string
}

// FileError says that a file can't be used.
type FileError struct {
	file  string
	cause error
}

// File returns the file.
func (e FileError) File() string { return e.file }

// Error implements error.
func (e FileError) Error() string {
	return fmt.Sprintf("%s: %v; give PEM files of a certificate, its key and the authority", e.file, e.cause)
}

// Unwrap returns the reason.
func (e FileError) Unwrap() error { return e.cause }

// Identity is a certificate with its key and the trusted authorities, as the
// files hold them now. A change that can't be read is passed over, so that a
// file that is being written does no harm.
type Identity struct {
	options     Options
	mutex       sync.Mutex
	lastCheck   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// New reads the files.
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
		pair, err := tls.LoadX509KeyPair(i.options.CertFile, i.options.KeyFile)
		if err != nil {
			return FileError{i.options.CertFile, err}
		}
		i.certificate = &pair
	}
	raw, err := os.ReadFile(i.options.CAFile)
	if err != nil {
		return FileError{i.options.CAFile, err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return FileError{i.options.CAFile, errors.New("it holds no certificate")}
	}
	i.caPool = pool
	return nil
}

// fileModTimes returns when the files were last changed.
func (i *Identity) fileModTimes() [3]time.Time {
	var t [3]time.Time
	for n, name := range []string{i.options.CertFile, i.options.KeyFile, i.options.CAFile} {
		if info, err := os.Stat(name); err == nil {
			t[n] = info.ModTime()
		}
	}
	return t
}

// current returns what the files hold now.
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
			pair, _ := i.current()
			return pair, nil
		},
	}
}

// ClientConfig returns the configuration of a client. The server's certificate must
// lead to a trusted authority and name the address that was dialled.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// VerifyConnection does the usual checks against the authorities that
		// the file holds now.
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
