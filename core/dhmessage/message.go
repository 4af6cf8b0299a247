// Package dhmessage holds what the system's processes say to each other, and
// the commands of the replicated log. All messages are one-way and may be
// lost, repeated, delayed or reordered; the sender retries where it must.
package dhmessage

// Message is one message between two processes of the system.
type Message interface{ message() }

// Peer identifies a process of the system.
type Peer struct {
	name     string
	folderID string
}

// NewPeer returns a peer. The folder is the identity of its data folder, or ""
// for a process without one.
func NewPeer(name, folder string) Peer { return Peer{name: name, folderID: folder} }

// Name returns the name of the process, as its settings give it.
func (p Peer) Name() string { return p.name }

// FolderID returns the identity of the data folder, or "".
func (p Peer) FolderID() string { return p.folderID }

// String returns name or name@folder.
func (p Peer) String() string {
	if p.folderID == "" {
		return p.name
	}
	return p.name + "@" + p.folderID
}
