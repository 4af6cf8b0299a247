package dhpeer

import (
	"sync"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhview"
)

// AddressBook knows at which address each process listens: from the settings, from
// the list of voters, from the configuration, and else from the messages that
// came.
type AddressBook struct {
	mutex      sync.RWMutex
	configured map[string]string
	voters     map[string]string
	reported   map[string]string
	catalog    *dhcatalog.Catalog
}

// NewAddressBook returns a book with the addresses of the settings.
func NewAddressBook(fixed map[string]string) *AddressBook {
	return &AddressBook{configured: fixed, reported: map[string]string{}, catalog: dhcatalog.New()}
}

// SetView takes the addresses of a configuration and of the voters.
func (b *AddressBook) SetView(v *dhview.View) {
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

// RecordAddress notes where a process says that it listens.
func (b *AddressBook) RecordAddress(name, address string) {
	if address == "" {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reported[name] = address
}

// Lookup returns the address of a process, or "".
func (b *AddressBook) Lookup(name string) string {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	if a, found := b.configured[name]; found {
		return a
	}
	if a, found := b.voters[name]; found {
		return a
	}
	if i, found := b.catalog.Instance(name); found {
		return i.PeerAddress()
	}
	return b.reported[name]
}
