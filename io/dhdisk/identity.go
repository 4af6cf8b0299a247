package dhdisk

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// folderIDSize is the length of the random folder ID, in bytes.
const folderIDSize = 8

// Found creates the identity of a founding voter of a new group in an empty data
// folder. It returns an IdentityExistsError if the folder already has an
// identity.
func Found(path, name string, founders []dhmessage.Member) error {
	if err := os.MkdirAll(path, folderPermission); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	if _, err := os.Stat(filepath.Join(path, "identity")); err == nil {
		return IdentityExistsError{folder: path}
	}
	return writeIdentity(path, name, founders)
}

func writeIdentity(path, name string, founders []dhmessage.Member) error {
	raw := make([]byte, folderIDSize)
	if _, err := rand.Read(raw); err != nil {
		return err
	}
	payload, err := proto.Marshal(&dhproto.Identity{
		Format: Format, Name: name, Folder: hex.EncodeToString(raw), Founders: dhwire.MembersToWire(founders),
	})
	if err != nil {
		return err
	}
	return writeRecordFile(filepath.Join(path, "identity"), identityMagic, payload)
}

// requireEmpty returns a CorruptionError if a folder without an identity contains
// a log or a snapshot: its identity was lost, and a new one must not replace it.
func (f *Folder) requireEmpty() error {
	for _, pattern := range []string{"log-*", "snapshot-*"} {
		if found, _ := filepath.Glob(filepath.Join(f.path, pattern)); len(found) > 0 {
			return CorruptionError{path: filepath.Join(f.path, "identity"), reason: "the file is missing, but the folder contains " + filepath.Base(found[0])}
		}
	}
	return nil
}
