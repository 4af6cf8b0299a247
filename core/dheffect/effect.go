// Package dheffect defines the effects that a reducer returns. An effect is
// data; the io packages carry it out.
package dheffect

// Effect is one action for the io packages to carry out.
type Effect interface{ effect() }

// List collects effects in order. The zero value is ready to use.
type List struct{ items []Effect }

// Add appends an effect.
func (l *List) Add(e Effect) { l.items = append(l.items, e) }

// Items returns the effects in order. They are valid until Reset.
func (l *List) Items() []Effect { return l.items }

// Reset empties the list and keeps its allocated capacity.
func (l *List) Reset() {
	clear(l.items)
	l.items = l.items[:0]
}
