package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestNetHTTPWritesPlainText has an upstream send bytes that no request asked for, and a
// client that speaks no TLS. What net/http writes about them must be lines in JSON.
func TestNetHTTPWritesPlainText(t *testing.T) {
	folder := t.TempDir()
	writeCertificate(t, folder, 1)
	c := newTLSCluster(t, folder, 1, "a1")
	entry := c.entries[0]
	c.startUpstream("gate-a1-1", entry, func(w http.ResponseWriter, _ *http.Request) {
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
	})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: c.tls()}}
	r, err := client.Get("https://" + entry.callers + "/open/1")
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("got response %v and error %v, want status 200", r, err)
	}
	r.Body.Close()
	if r, err := http.Get("http://" + entry.callers + "/open/1"); err == nil {
		r.Body.Close()
	}
	for _, text := range []string{"Unsolicited response", "TLS handshake error"} {
		eventually(t, "a line with "+text, func() bool { return strings.Contains(entry.log.String(), text) })
	}
	for line := range strings.Lines(entry.log.String()) {
		if !json.Valid([]byte(line)) {
			t.Errorf("plain text in the log: %s", line)
		}
	}
}
