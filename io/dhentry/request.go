package dhentry

import (
	"context"
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
	"time"
	"unicode/utf8"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/io/dhwire"
)

// Limits on the fields of a caller's request.
const (
	maxRequestIDBytes      = 64
	maxIdempotencyKeyBytes = 128
	maxTimeoutMs           = 3_600_000
)

// apiKeyParameter is the query parameter that may carry the API key.
const apiKeyParameter = "apiKey"

// apiKeyHeader is the header field that may carry the API key, besides
// Authorization.
const apiKeyHeader = "X-Api-Key"

// inbound is a request from a caller, or from a peer that forwarded it.
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
	// verbatimPath is the path of the request target as received; "" if the path
	// is encoded again from url.
	verbatimPath string
}

// readRequest reads a request and its body, and removes the caller's API key from
// it; see extractKey. It returns the kind of refusal for a request that exceeds the
// limits or is malformed, and "" otherwise.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*inbound, dheffect.RefusalKind) {
	dialect := s.options.Dialect.options
	in := &inbound{method: r.Method, header: r.Header.Clone(), remoteAddress: r.RemoteAddr, host: r.Host}
	in.id = s.requestID(r)
	in.objectHash = dhsteer.HashObject(r.Header.Get(dialect.ObjectHeader))
	urlCopy := *r.URL
	in.url = &urlCopy
	if path, _, _ := strings.Cut(r.RequestURI, "?"); dialect.Verbatim && strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		in.verbatimPath = path
	}
	if kind := in.readTimeout(dialect.TimeoutHeader); kind != "" {
		return in, kind
	}
	// Messages between processes can hold no other key.
	if key := r.Header.Get(HeaderIdempotencyKey); utf8.ValidString(key) {
		in.idempotencyKey = key
	}
	if len(in.idempotencyKey) > maxIdempotencyKeyBytes {
		return in, dheffect.RefuseMalformed
	}
	in.extractKey(dialect.KeyHeader)
	body, err := s.readBodyUntilAbort(w, r)
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && s.aborted.Err() != nil:
		return in, dheffect.RefuseInstanceLeaving
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

// readBodyUntilAbort reads a request's body. It returns an error if Abort is called
// meanwhile.
func (s *Server) readBodyUntilAbort(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	interrupted := make(chan struct{})
	stop := context.AfterFunc(s.aborted, func() {
		defer close(interrupted)
		// Without support for deadlines the body is read until its connection closes.
		_ = controller.SetReadDeadline(time.Now())
	})
	body, err := readBody(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes), r.ContentLength)
	if !stop() {
		// The request can't go on, because net/http takes a connection with an expired
		// deadline for closed. The controller must not be used after the handler's end.
		<-interrupted
		return nil, context.Cause(s.aborted)
	}
	return body, err
}

// readBody reads a body. If its length is declared and at most
// maxPreallocatedBodyBytes, it goes into one buffer of exactly that length.
func readBody(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPreallocatedBodyBytes {
		return io.ReadAll(body)
	}
	raw := make([]byte, length)
	_, err := io.ReadFull(body, raw)
	return raw, err
}

// maxPreallocatedBodyBytes bounds the memory that is allocated for a body before it
// was received, in bytes.
const maxPreallocatedBodyBytes = 1 << 20

// targetPath returns the path that selects the route: the one that is forwarded, with its
// percent-encoding.
func (in *inbound) targetPath() string {
	if in.verbatimPath != "" {
		return in.verbatimPath
	}
	return in.url.EscapedPath()
}

// hostName returns the requested host name in lower case, without a port and without the dot that
// may end it.
func (in *inbound) hostName() string {
	name := in.host
	if host, _, err := net.SplitHostPort(name); err == nil {
		name = host
	}
	return strings.TrimSuffix(strings.ToLower(name), ".")
}

// requestID returns the caller's request ID if it is valid, else a random one.
func (s *Server) requestID(r *http.Request) string {
	id := r.Header.Get(s.options.Dialect.options.RequestIDHeader)
	if s.options.Dialect.options.Verbatim && id != "" {
		return id
	}
	if id != "" && len(id) <= maxRequestIDBytes && dhcatalog.ValidName(id) {
		return id
	}
	return randomID()
}

func randomID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// isReplayableByKey reports whether the transport of net/http could resend the request
// on a pooled connection because of its idempotency key.
func (in *inbound) isReplayableByKey() bool {
	_, hasKey := in.header[HeaderIdempotencyKey]
	_, hasExtensionKey := in.header["X-"+HeaderIdempotencyKey]
	return len(in.body) == 0 && (hasKey || hasExtensionKey)
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

// extractKey hashes the caller's API key and removes the key from the request. If
// a field is named, only that field may carry the key. Otherwise every header
// field and query parameter that contains the key is removed, so that upstreams
// never receive it.
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
	for _, candidate := range []string{in.header.Get(apiKeyHeader), query.Get(apiKeyParameter)} {
		if key == "" {
			key = candidate
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

// removeKeyCopies removes all other header fields and query parameters that
// contain the key.
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

// contentDigest hashes the method, URL, content type and body of a request with
// an idempotency key, so that reuse of the key with other content is detected.
func (in *inbound) contentDigest() dhcatalog.Hash {
	return in.hashWithBody(in.method, in.url.Path, in.url.RawQuery, in.header.Get("Content-Type"))
}

// contentHash hashes what an upstream gets of a request apart from its header: the
// method, host, target and body. It shares no work with contentDigest: the texts before
// the body differ, and other processes compare both hashes.
func (in *inbound) contentHash() dhcatalog.Hash {
	return in.hashWithBody(in.method, in.hostName(), in.url.Path, in.url.RawQuery)
}

// hashWithBody hashes texts followed by the request's body.
func (in *inbound) hashWithBody(texts ...string) dhcatalog.Hash {
	h := sha256.New()
	for _, text := range texts {
		_, _ = io.WriteString(h, text+"\x00")
	}
	_, _ = h.Write(in.body)
	var d dhcatalog.Hash
	h.Sum(d[:0])
	return d
}

// hopByHopHeaders are the header fields that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders removes the hop-by-hop fields and those that the
// Connection field names.
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
