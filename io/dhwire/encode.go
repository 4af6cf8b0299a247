package dhwire

import (
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dhproto"
)

// changeSetDigest returns the SHA-256 hash of a change set in protobuf encoding.
func changeSetDigest(m *dhproto.ChangeSet) (dhcatalog.Hash, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return dhcatalog.Hash{}, fmt.Errorf("encode change set: %w", err)
	}
	return sha256.Sum256(raw), nil
}

// HashSecret returns the SHA-256 hash that is stored in place of the secret of a
// caller's key.
func HashSecret(secret string) dhcatalog.Hash { return sha256.Sum256([]byte(secret)) }

// EncodeCatalog encodes a complete configuration in protobuf.
func EncodeCatalog(c *dhcatalog.Catalog) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(catalogToWire(c))
}

// DecodeCatalog decodes a configuration that EncodeCatalog has encoded.
func DecodeCatalog(raw []byte) (*dhcatalog.Catalog, error) {
	m := &dhproto.Catalog{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return catalogFromWire(m)
}
