package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dogwoodhitch/io/dhtestcluster"
)

// TestNetHTTPWritesPlainText has an upstream send bytes that no request asked for, and a
// client that speaks no TLS. What net/http writes about them must be lines in JSON.
func TestNetHTTPWritesPlainText(t *testing.T) {
	folder := t.TempDir()
	writeCertificate(t, folder, 1)
	c := dhtestcluster.New(t, dhtestcluster.Options{Voters: 1, Zones: []string{"a1"}, Certificates: folder})
	entry := c.Entries()[0]
	c.StartUpstream("gate-a1-1", func(w http.ResponseWriter, _ *http.Request) {
		connection, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n")
		w.Header().Write(buffer)
		buffer.WriteString("\r\nok")
		buffer.Flush()
		time.Sleep(100 * time.Millisecond)
		connection.Write([]byte("extra bytes"))
	}, entry)
	raw, err := os.ReadFile(filepath.Join(folder, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	authorities := x509.NewCertPool()
	authorities.AppendCertsFromPEM(raw)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities}}}
	r, err := client.Get("https://" + entry.Callers() + "/open/1")
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("got response %v and error %v, want status 200", r, err)
	}
	r.Body.Close()
	if r, err := http.Get("http://" + entry.Callers() + "/open/1"); err == nil {
		r.Body.Close()
	}
	for _, text := range []string{"Unsolicited response", "TLS handshake error"} {
		dhtestcluster.Eventually(t, "a line with "+text, func() bool { return strings.Contains(entry.Log(), text) })
	}
	for line := range strings.Lines(entry.Log()) {
		if !json.Valid([]byte(line)) {
			t.Errorf("plain text in the log: %s", line)
		}
	}
}
