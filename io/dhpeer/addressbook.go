package dhpeer

import (
	"sync"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhview"
)

// AddressBook maps names of processes to the addresses at which they listen for
// peers. The sources, in order of precedence, are the settings, the members of
// the consensus group, the configuration, and the addresses that senders report
// in their messages.
type AddressBook struct {
	mutex      sync.RWMutex
	configured map[string]string
	members    map[string]string
	reported   map[string]string
	catalog    *dhcatalog.Catalog
}

// NewAddressBook returns an address book with the addresses of the settings, by
// name of the process.
func NewAddressBook(configured map[string]string) *AddressBook {
	return &AddressBook{configured: configured, reported: map[string]string{}, catalog: dhcatalog.New()}
}

// SetConfigured replaces the addresses of the settings.
func (b *AddressBook) SetConfigured(configured map[string]string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.configured = configured
}

// SetView replaces the addresses from the configuration and from the members of
// the consensus group.
func (b *AddressBook) SetView(v *dhview.View) {
	voters := make(map[string]string, len(v.Members()))
	for _, m := range v.Members() {
		if m.Address() != "" {
			voters[m.Peer().Name()] = m.Address()
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.catalog, b.members = v.Catalog(), voters
}

// RecordAddress stores the address that a process reports for itself. An empty
// address is ignored.
func (b *AddressBook) RecordAddress(name, address string) {
	if address == "" {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reported[name] = address
}

// Lookup returns the address of a process, or "" if it is unknown.
func (b *AddressBook) Lookup(name string) string {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	if a, found := b.configured[name]; found {
		return a
	}
	if a, found := b.members[name]; found {
		return a
	}
	if i, found := b.catalog.Instance(name); found {
		return i.PeerAddress()
	}
	return b.reported[name]
}
