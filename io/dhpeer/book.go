package dhpeer

import (
	"sync"

	"dogwoodhitch/core/dhcatalog"
)

// Book knows at which address each process listens: from the settings, from
// the configuration, and from the messages that came.
type Book struct {
	mutex   sync.RWMutex
	fixed   map[string]string
	learnt  map[string]string
	catalog *dhcatalog.Catalog
}

// NewBook returns a book with the addresses of the settings.
func NewBook(fixed map[string]string) *Book {
	return &Book{fixed: fixed, learnt: map[string]string{}, catalog: dhcatalog.New()}
}

// SetCatalog takes the addresses of a configuration.
func (b *Book) SetCatalog(c *dhcatalog.Catalog) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.catalog = c
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
	if a, found := b.learnt[name]; found {
		return a
	}
	if i, found := b.catalog.Instance(name); found {
		return i.PeerAddress()
	}
	return b.fixed[name]
}
