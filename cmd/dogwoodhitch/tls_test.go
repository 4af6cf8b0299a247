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

	"dogwoodhitch/io/dhtestcluster"
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
		IPAddresses: []net.IP{net.ParseIP(dhtestcluster.Host())}, IsCA: true, BasicConstraintsValid: true,
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
	c := dhtestcluster.New(t, dhtestcluster.Options{Voters: 1, Zones: []string{"a1", "b1"}, Certificates: folder})
	c.StartUpstream("gate-a1-1", nil, c.Entries()[0])
	get := func(url string) (*http.Response, error) {
		pool := x509.NewCertPool()
		raw, _ := os.ReadFile(filepath.Join(folder, "ca.pem"))
		pool.AppendCertsFromPEM(raw)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}}
		r, _ := http.NewRequest(http.MethodGet, url, nil)
		r.Header.Set("Authorization", "Bearer "+dhtestcluster.KeyOne)
		return client.Do(r)
	}
	for _, e := range c.Entries() {
		r, err := get("https://" + e.Callers() + "/gate/1")
		if err != nil || r.StatusCode != http.StatusOK || r.ProtoMajor != 2 {
			t.Fatalf("a request to %s over TLS got %v and error %v, want status 200 over HTTP/2", e.Name(), r, err)
		}
	}
	if out, err := exec.Command(dhtestcluster.Program(), "status", "--server", c.Voters()[0].Operators(),
		"--secret-file", filepath.Join(c.Folder(), "operators"), "--ca-file", filepath.Join(folder, "ca.pem")).CombinedOutput(); err != nil {
		t.Errorf("the status command over TLS failed: %v: %s", err, out)
	}
	writeCertificate(t, folder, 2)
	dhtestcluster.Eventually(t, "the entry instance presents the new certificate", func() bool {
		r, err := get("https://" + c.Entries()[1].Callers() + "/gate/1")
		return err == nil && r.StatusCode == http.StatusOK && r.TLS.PeerCertificates[0].SerialNumber.Int64() == 2
	})
	if _, err := http.Get("http://" + c.Entries()[0].Callers() + "/gate/1"); err == nil {
		r, _ := http.Get("http://" + c.Entries()[0].Callers() + "/gate/1")
		if r.StatusCode == http.StatusOK {
			t.Error("a request without TLS was served")
		}
	}
	if strings.Contains(c.Entries()[0].Log(), "PRIVATE") {
		t.Error("a private key was logged")
	}
}
