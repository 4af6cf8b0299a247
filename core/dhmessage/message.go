// Package dhmessage defines the messages between the system's processes and the
// commands of the replicated log. All messages are one-way and may be lost,
// repeated, delayed or reordered; the sender retries where necessary.
package dhmessage

// Message is one message between two processes of the system.
type Message interface{ message() }

// Peer identifies a process of the system.
type Peer struct {
	name     string
	folderID string `journal:"folder"`
}

// NewPeer returns a peer. The folder ID is the identity of its data folder, or
// "" for a process without one.
func NewPeer(name, folderID string) Peer { return Peer{name: name, folderID: folderID} }

// Name returns the name of the process, as its settings give it.
func (p Peer) Name() string { return p.name }

// FolderID returns the identity of the data folder, or "".
func (p Peer) FolderID() string { return p.folderID }

// String returns name or name@folderID.
func (p Peer) String() string {
	if p.folderID == "" {
		return p.name
	}
	return p.name + "@" + p.folderID
}
