package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// writeCertificate writes a self-signed certificate for the loopback address,
// its key, and a CA file that trusts it and the certificates before it. The
// serial number identifies the certificate.
func writeCertificate(t *testing.T, folder string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(host)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	trusted, _ := os.ReadFile(filepath.Join(folder, "ca.pem"))
	for name, content := range map[string][]byte{
		"cert.pem": cert, "key.pem": pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: rawKey}), "ca.pem": append(cert, trusted...),
	} {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTLS runs a system whose processes accept TLS connections only, sends a
// request that one entry instance forwards to another zone, and replaces the
// certificates at run time.
func TestTLS(t *testing.T) {
	folder := t.TempDir()
	writeCertificate(t, folder, 1)
	c := newTLSCluster(t, folder, 1, "a1", "b1")
	c.startUpstream("gate-a1-1", c.entries[0], nil)
	get := func(url string) (*http.Response, error) {
		pool := x509.NewCertPool()
		raw, _ := os.ReadFile(filepath.Join(folder, "ca.pem"))
		pool.AppendCertsFromPEM(raw)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}}
		r, _ := http.NewRequest(http.MethodGet, url, nil)
		r.Header.Set("Authorization", "Bearer "+keyOne)
		return client.Do(r)
	}
	for _, e := range c.entries {
		r, err := get("https://" + e.callers + "/gate/1")
		if err != nil || r.StatusCode != http.StatusOK || r.ProtoMajor != 2 {
			t.Fatalf("a request to %s over TLS got %v and error %v, want status 200 over HTTP/2", e.name, r, err)
		}
	}
	if out, err := exec.Command(program, "status", "--server", c.voters[0].operators,
		"--secret-file", filepath.Join(c.folder, "operators"), "--ca-file", filepath.Join(folder, "ca.pem")).CombinedOutput(); err != nil {
		t.Errorf("the status command over TLS failed: %v: %s", err, out)
	}
	writeCertificate(t, folder, 2)
	eventually(t, "the entry instance presents the new certificate", func() bool {
		r, err := get("https://" + c.entries[1].callers + "/gate/1")
		return err == nil && r.StatusCode == http.StatusOK && r.TLS.PeerCertificates[0].SerialNumber.Int64() == 2
	})
	if _, err := http.Get("http://" + c.entries[0].callers + "/gate/1"); err == nil {
		r, _ := http.Get("http://" + c.entries[0].callers + "/gate/1")
		if r.StatusCode == http.StatusOK {
			t.Error("a request without TLS was served")
		}
	}
	if strings.Contains(c.entries[0].log.String(), "PRIVATE") {
		t.Error("a private key was logged")
	}
}
