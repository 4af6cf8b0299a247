package dhwire

import (
	"fmt"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
)

// SuspectReportToWire returns the wire form of a report; nil for none.
func SuspectReportToWire(r *dhmessage.SuspectReport) *dhproto.SuspectReport {
	if r == nil {
		return nil
	}
	w := &dhproto.SuspectReport{Digest: r.Digest()}
	for _, s := range r.Suspects() {
		content := s.Fingerprint().Content()
		w.Suspects = append(w.Suspects, &dhproto.Suspect{
			Organisation: s.Fingerprint().Organisation(), Content: content[:], Acquittals: s.Acquittals(), Crashes: s.Crashes(), AgeMs: s.Age().Milliseconds(),
		})
	}
	return w
}

// SuspectReportFromWire returns a report from its wire form, or nil for none.
func SuspectReportFromWire(w *dhproto.SuspectReport) (*dhmessage.SuspectReport, error) {
	if w == nil {
		return nil, nil
	}
	o := dhmessage.SuspectReportOptions{Digest: w.GetDigest()}
	for _, s := range w.GetSuspects() {
		var content dhcatalog.Hash
		if len(s.GetContent()) != len(content) {
			return nil, fmt.Errorf("a suspect's content hash has %d bytes, want %d", len(s.GetContent()), len(content))
		}
		copy(content[:], s.GetContent())
		o.Suspects = append(o.Suspects, dhmessage.NewSuspect(dhmessage.SuspectOptions{
			Fingerprint: dhmessage.NewFingerprint(s.GetOrganisation(), content), Acquittals: s.GetAcquittals(), Crashes: s.GetCrashes(), Age: dhclock.Millis(s.GetAgeMs()),
		}))
	}
	return dhmessage.NewSuspectReport(o), nil
}
