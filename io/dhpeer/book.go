package dhpeer

import (
	"sync"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhview"
)

// Book knows at which address each process listens: from the settings, from
// the list of voters, from the configuration, and else from the messages that
// came.
type Book struct {
	mutex   sync.RWMutex
	fixed   map[string]string
	voters  map[string]string
	learnt  map[string]string
	catalog *dhcatalog.Catalog
}

// NewBook returns a book with the addresses of the settings.
func NewBook(fixed map[string]string) *Book {
	return &Book{fixed: fixed, learnt: map[string]string{}, catalog: dhcatalog.New()}
}

// SetView takes the addresses of a configuration and of the voters.
func (b *Book) SetView(v *dhview.View) {
	voters := make(map[string]string, len(v.Members()))
	for _, m := range v.Members() {
		if m.Address() != "" {
			voters[m.Peer().Name()] = m.Address()
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.catalog, b.voters = v.Catalog(), voters
}

// Learn notes where a process says that it listens.
func (b *Book) Learn(name, address string) {
	if address == "" {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.learnt[name] = address
}

// Lookup returns the address of a process, or "".
func (b *Book) Lookup(name string) string {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	if a, found := b.fixed[name]; found {
		return a
	}
	if a, found := b.voters[name]; found {
		return a
	}
	if i, found := b.catalog.Instance(name); found {
		return i.PeerAddress()
	}
	return b.learnt[name]
}
