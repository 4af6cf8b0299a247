package dhentry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/io/dhwire"
)

// Bounds of what callers send.
const (
	maxRequestIDBytes      = 64
	maxIdempotencyKeyBytes = 128
	maxTimeoutMs           = 3_600_000
)

// apiKeyParameter is the query parameter that may carry the key.
const apiKeyParameter = "apiKey"

// apiKeyHeader is the header field that may carry the key, beside Authorization.
const apiKeyHeader = "X-Api-Key"

// inbound is a caller's request as read.
type inbound struct {
	id             string
	method         string
	url            *url.URL
	header         http.Header
	body           []byte
	apiKeyHash     dhcatalog.Hash
	timeout        dhclock.Millis
	idempotencyKey string
	digest         dhcatalog.Hash
	objectHash     uint64
	remoteAddress  string
	host           string
	// verbatimPath is the request's target as it came; "" if it is written anew.
	verbatimPath string
}

// readRequest reads a request within the bounds, and takes the caller's key
// out of it wherever it stands. It returns the kind of refusal for a request
// that is out of bounds.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*inbound, dheffect.RefusalKind) {
	dialect := s.options.Dialect.options
	in := &inbound{method: r.Method, header: r.Header.Clone(), remoteAddress: r.RemoteAddr, host: r.Host}
	in.id = s.requestID(r)
	in.objectHash = dhsteer.HashObject(r.Header.Get(dialect.ObjectHeader))
	copied := *r.URL
	in.url = &copied
	if path, _, _ := strings.Cut(r.RequestURI, "?"); dialect.Verbatim && strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		in.verbatimPath = path
	}
	if kind := in.readTimeout(dialect.TimeoutHeader); kind != "" {
		return in, kind
	}
	in.idempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if len(in.idempotencyKey) > maxIdempotencyKeyBytes {
		return in, dheffect.RefuseMalformed
	}
	in.extractKey(dialect.KeyHeader)
	body, err := readBody(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return in, dheffect.RefuseTooLarge
	case err != nil:
		return in, dheffect.RefuseMalformed
	}
	in.body = body
	if in.idempotencyKey != "" {
		in.digest = in.contentDigest()
	}
	return in, ""
}

// readBody reads a body into one piece of memory of its own length.
func readBody(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxExactBody {
		return io.ReadAll(body)
	}
	raw := make([]byte, length)
	_, err := io.ReadFull(body, raw)
	return raw, err
}

// maxExactBody bounds the memory that is set aside for a body before it has
// come, in bytes.
const maxExactBody = 1 << 20

// hostName returns the host name that the caller asks for, without a port and
// in lower case.
func (in *inbound) hostName() string {
	name := in.host
	if host, _, err := net.SplitHostPort(name); err == nil {
		name = host
	}
	return strings.ToLower(name)
}

// requestID returns a caller's identifier if it is usable, else a new one.
func (s *Server) requestID(r *http.Request) string {
	given := r.Header.Get(s.options.Dialect.options.RequestIDHeader)
	if s.options.Dialect.options.Verbatim && given != "" {
		return given
	}
	if given != "" && len(given) <= maxRequestIDBytes && dhcatalog.ValidName(given) {
		return given
	}
	return randomID()
}

func randomID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func (in *inbound) readTimeout(field string) dheffect.RefusalKind {
	text := in.header.Get(field)
	if text == "" {
		return ""
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) || ms > maxTimeoutMs {
		return dheffect.RefuseMalformed
	}
	ms = max(ms, 1)
	in.timeout = dhclock.Millis(ms)
	return ""
}

// extractKey finds the caller's key and removes it: from the one field that may
// carry it, or if none is named with every header field and query parameter
// that holds it.
func (in *inbound) extractKey(field string) {
	if field != "" {
		if key := in.header.Get(field); key != "" {
			in.apiKeyHash = dhwire.HashSecret(key)
		}
		in.header.Del(field)
		return
	}
	query := in.url.Query()
	key := strings.TrimSpace(strings.TrimPrefix(in.header.Get("Authorization"), "Bearer "))
	for _, other := range []string{in.header.Get(apiKeyHeader), query.Get(apiKeyParameter)} {
		if key == "" {
			key = other
		}
	}
	for _, name := range []string{"Authorization", apiKeyHeader, "Proxy-Authorization"} {
		in.header.Del(name)
	}
	if query.Has(apiKeyParameter) {
		query.Del(apiKeyParameter)
		in.url.RawQuery = query.Encode()
	}
	if key == "" {
		return
	}
	in.apiKeyHash = dhwire.HashSecret(key)
	in.removeKeyCopies(key)
}

// removeKeyCopies removes what else holds the key.
func (in *inbound) removeKeyCopies(key string) {
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
func (in *inbound) contentDigest() dhcatalog.Hash {
	h := sha256.New()
	for _, part := range []string{in.method, in.url.Path, in.url.RawQuery, in.header.Get("Content-Type")} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(in.body)
	var d dhcatalog.Hash
	h.Sum(d[:0])
	return d
}

// hopByHopHeaders are the fields that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders removes the fields that concern one connection only.
func removeHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
