package dhentry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/io/dhwire"
)

// Bounds of what callers send.
const (
	maxRequestID      = 64
	maxIdempotencyKey = 128
	maxTimeoutMs      = 3_600_000
)

// keyParameter is the query parameter that may carry the key.
const keyParameter = "apiKey"

// keyHeader is the header field that may carry the key, beside Authorization.
const keyHeader = "X-Api-Key"

// inbound is a caller's request as read.
type inbound struct {
	id          string
	method      string
	url         *url.URL
	header      http.Header
	body        []byte
	key         dhcatalog.KeyHash
	patience    dhclock.Millis
	idempotency string
	digest      dhcatalog.KeyHash
	remote      string
	host        string
}

// readRequest reads a request within the bounds, and takes the caller's key
// out of it wherever it stands. It returns the kind of refusal for a request
// that is out of bounds.
func readRequest(w http.ResponseWriter, r *http.Request, maxBody int64) (*inbound, dheffect.RefusalKind) {
	in := &inbound{method: r.Method, header: r.Header.Clone(), remote: r.RemoteAddr, host: r.Host}
	in.id = requestID(r.Header.Get(HeaderRequest))
	copied := *r.URL
	in.url = &copied
	if kind := in.readDeadline(); kind != "" {
		return in, kind
	}
	in.idempotency = r.Header.Get(HeaderIdempotency)
	if len(in.idempotency) > maxIdempotencyKey {
		return in, dheffect.RefuseMalformed
	}
	in.takeKey()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return in, dheffect.RefuseTooLarge
	case err != nil:
		return in, dheffect.RefuseMalformed
	}
	in.body = body
	if in.idempotency != "" {
		in.digest = in.contentDigest()
	}
	return in, ""
}

// requestID returns a caller's identifier if it is usable, else a new one.
func requestID(given string) string {
	if given != "" && len(given) <= maxRequestID && dhcatalog.ValidName(given) {
		return given
	}
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func (in *inbound) readDeadline() dheffect.RefusalKind {
	text := in.header.Get(HeaderTimeout)
	if text == "" {
		return ""
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeoutMs {
		return dheffect.RefuseMalformed
	}
	in.patience = dhclock.Millis(ms)
	return ""
}

// takeKey finds the caller's key and removes it, with every header field and
// query parameter that holds it.
func (in *inbound) takeKey() {
	query := in.url.Query()
	key := strings.TrimSpace(strings.TrimPrefix(in.header.Get("Authorization"), "Bearer "))
	for _, other := range []string{in.header.Get(keyHeader), query.Get(keyParameter)} {
		if key == "" {
			key = other
		}
	}
	for _, name := range []string{"Authorization", keyHeader, "Proxy-Authorization"} {
		in.header.Del(name)
	}
	if query.Has(keyParameter) {
		query.Del(keyParameter)
		in.url.RawQuery = query.Encode()
	}
	if key == "" {
		return
	}
	in.key = dhwire.HashSecret(key)
	in.removeKey(key)
}

// removeKey removes what else holds the key.
func (in *inbound) removeKey(key string) {
	for name, values := range in.header {
		for _, v := range values {
			if strings.Contains(v, key) {
				delete(in.header, name)
				break
			}
		}
	}
	if !strings.Contains(in.url.RawQuery, url.QueryEscape(key)) && !strings.Contains(in.url.RawQuery, key) {
		return
	}
	query := in.url.Query()
	for name, values := range query {
		for _, v := range values {
			if strings.Contains(v, key) {
				query.Del(name)
				break
			}
		}
	}
	in.url.RawQuery = query.Encode()
}

// contentDigest identifies what a claimed request asks for.
func (in *inbound) contentDigest() dhcatalog.KeyHash {
	h := sha256.New()
	for _, part := range []string{in.method, in.url.Path, in.url.RawQuery, in.header.Get("Content-Type")} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(in.body)
	var d dhcatalog.KeyHash
	h.Sum(d[:0])
	return d
}

// hopHeaders are the fields that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopHeaders removes the fields that concern one connection only.
func removeHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
