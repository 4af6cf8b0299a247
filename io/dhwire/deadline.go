package dhwire

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
)

func roundToWire(r *dhmessage.Round) *dhproto.Round {
	if r == nil {
		return nil
	}
	return &dhproto.Round{Term: r.Term(), Number: r.Number()}
}

func roundFromWire(w *dhproto.Round) *dhmessage.Round {
	if w == nil {
		return nil
	}
	r := dhmessage.NewRound(w.GetTerm(), w.GetNumber())
	return &r
}

func deadlineToWire(d *dhmessage.Deadline) *dhproto.Deadline {
	if d == nil {
		return nil
	}
	r := d.Round()
	return &dhproto.Deadline{Round: roundToWire(&r), AfterMs: d.After().Milliseconds()}
}

func deadlineFromWire(w *dhproto.Deadline) *dhmessage.Deadline {
	if w == nil {
		return nil
	}
	r := w.GetRound()
	d := dhmessage.NewDeadline(dhmessage.NewRound(r.GetTerm(), r.GetNumber()), dhclock.Millis(w.GetAfterMs()))
	return &d
}
