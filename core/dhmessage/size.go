package dhmessage

import "dogwoodhitch/core/dhcatalog"

// RecordBytes is the approximate size of a log entry without its command, of a receipt, or of a
// claim without its response, in bytes.
const RecordBytes = 200

// ApproximateBytes returns the approximate size of the entry in memory, in bytes.
func (e Entry) ApproximateBytes() int { return RecordBytes + CommandBytes(e.command) }

// ApproximateBytes returns the approximate size of the change and its inverse in memory, in
// bytes.
func (a AcceptedChange) ApproximateBytes() int {
	return a.changeSet.ApproximateBytes() + a.undo.ApproximateBytes()
}

// ApproximateBytes returns the approximate size of the snapshot in memory, in bytes. It visits each
// object, change set and claim.
func (s Snapshot) ApproximateBytes() int {
	size := RecordBytes * (len(s.Receipts()) + len(s.Claims()))
	if s.Catalog() != nil {
		size += s.Catalog().ApproximateBytes()
	}
	for _, a := range s.RecentChanges() {
		size += a.ApproximateBytes()
	}
	for _, c := range s.Claims() {
		size += c.Response().Size()
	}
	return size
}

// CommandBytes returns the approximate size of what a command holds, in bytes.
func CommandBytes(c Command) int {
	switch c := c.(type) {
	case Change:
		return c.ChangeSet().ApproximateBytes()
	case Edit:
		return dhcatalog.ObjectsBytes(c.Puts()) + dhcatalog.RefsBytes(c.Deletes())
	case Declare:
		return dhcatalog.ObjectsBytes(c.Objects()) + len(c.Declaration().Text())
	case Outcome:
		return c.Response().Size()
	default:
		return 0
	}
}

// ChangeBytes returns the approximate size of what a message holds of the log or of changes, in
// bytes; 0 for one that holds nothing of either.
func ChangeBytes(m Message) int {
	size := 0
	switch m := m.(type) {
	case *AppendRequest:
		for _, e := range m.Entries() {
			size += e.ApproximateBytes()
		}
	case *Update:
		for _, c := range m.Changes() {
			size += c.ApproximateBytes()
		}
	case *ProposeRequest:
		return CommandBytes(m.Command())
	}
	return size
}

// CarriesState reports whether a message carries a complete snapshot or configuration, which
// replaces the state of its receiver.
func CarriesState(m Message) bool {
	switch m := m.(type) {
	case *InstallSnapshot:
		return true
	case *Update:
		return m.Full() != nil
	default:
		return false
	}
}

// StateBytes returns the approximate size of the complete snapshot or configuration that a message
// carries, in bytes; 0 if it carries none. It visits each object, change set and claim.
func StateBytes(m Message) int {
	switch m := m.(type) {
	case *InstallSnapshot:
		return m.Snapshot().ApproximateBytes()
	case *Update:
		if m.Full() != nil {
			return m.Full().ApproximateBytes()
		}
	}
	return 0
}

// Fits reports whether content of some size may wait beside pending content, given a bound in
// bytes. Content that is larger than the bound itself fits while the rest is within it: otherwise it
// would never get through. Content without size always fits.
func Fits(pending, size, bound int) bool {
	return size == 0 || pending+size <= bound || size > bound && pending <= bound
}
