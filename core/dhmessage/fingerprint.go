package dhmessage

import (
	"fmt"

	"dogwoodhitch/core/dhcatalog"
)

// Fingerprint identifies requests with the same content from the same organisation,
// whichever instance receives them. It is comparable.
type Fingerprint struct {
	organisation string
	content      dhcatalog.Hash
}

// NewFingerprint returns the fingerprint of a request with the given hash of its method,
// host, target and body.
func NewFingerprint(organisation string, content dhcatalog.Hash) Fingerprint {
	return Fingerprint{organisation: organisation, content: content}
}

// Organisation returns the organisation that sends the request, or "".
func (f Fingerprint) Organisation() string { return f.organisation }

// Content returns the hash of the request's method, host, target and body.
func (f Fingerprint) Content() dhcatalog.Hash { return f.content }

// fingerprintTextBytes is how many bytes of the content's hash String shows.
const fingerprintTextBytes = 6

// String returns the first bytes of the content's hash in hexadecimal digits, as log
// lines show them.
func (f Fingerprint) String() string { return fmt.Sprintf("%x", f.content[:fingerprintTextBytes]) }
