package dhpeer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// responseLimiter is an http.RoundTripper that ends a response whose body is longer than
// maxResponseBytes. A limit on messages alone would read and drop the rest until the call's
// timeout.
type responseLimiter struct{ next *http.Transport }

// RoundTrip implements http.RoundTripper.
func (l responseLimiter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, remaining: maxResponseBytes}
	return response, nil
}

// limitedBody is a response body of which at most a number of bytes can be read.
type limitedBody struct {
	io.ReadCloser
	remaining int
}

// Read implements io.Reader. At the limit it closes the body, which closes the connection, and
// returns an error.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		err := fmt.Errorf("the response is longer than %d bytes; check what listens at the peer's address", maxResponseBytes)
		return 0, errors.Join(err, b.Close())
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
