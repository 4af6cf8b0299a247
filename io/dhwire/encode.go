package dhwire

import (
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dhproto"
)

// changeSetDigest returns the hash of a change set's content.
func changeSetDigest(m *dhproto.ChangeSet) (dhcatalog.Hash, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return dhcatalog.Hash{}, fmt.Errorf("encode change set: %w", err)
	}
	return sha256.Sum256(raw), nil
}

// HashSecret returns the hash under which a caller's key is stored.
func HashSecret(secret string) dhcatalog.Hash { return sha256.Sum256([]byte(secret)) }

// EncodeCatalog returns a whole configuration as bytes.
func EncodeCatalog(c *dhcatalog.Catalog) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(catalogToWire(c))
}

// DecodeCatalog reads what EncodeCatalog wrote.
func DecodeCatalog(raw []byte) (*dhcatalog.Catalog, error) {
	m := &dhproto.Catalog{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return catalogFromWire(m)
}
