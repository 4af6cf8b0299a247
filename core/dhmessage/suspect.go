package dhmessage

import "dogwoodhitch/core/dhclock"

// SuspectOptions are the fields of a Suspect.
type SuspectOptions struct {
	Fingerprint Fingerprint
	// Acquittals is how often the request has ended without a crash after it was
	// suspected. Crashes before the last acquittal don't count.
	Acquittals uint64
	// Crashes are the crashes of upstreams during which the request was in flight, as
	// hashes of the crashed processes, sorted.
	Crashes []uint64
	// Age is the time since the last crash or acquittal, in milliseconds.
	Age dhclock.Millis
}

// Suspect is a request that was in flight at upstreams that crashed.
type Suspect struct{ options SuspectOptions }

// NewSuspect returns a suspect.
func NewSuspect(o SuspectOptions) Suspect { return Suspect{options: o} }

// Fingerprint identifies the request.
func (s Suspect) Fingerprint() Fingerprint { return s.options.Fingerprint }

// Acquittals returns how often the request has ended without a crash after it was
// suspected.
func (s Suspect) Acquittals() uint64 { return s.options.Acquittals }

// Crashes returns the crashes during which the request was in flight, sorted.
func (s Suspect) Crashes() []uint64 { return s.options.Crashes }

// Age returns the time since the last crash or acquittal, in milliseconds.
func (s Suspect) Age() dhclock.Millis { return s.options.Age }

// SuspectReportOptions are the fields of a SuspectReport.
type SuspectReportOptions struct {
	// Suspects are the suspects that the receiver may lack.
	Suspects []Suspect
	// Digest is the digest of all suspects that the sender knows; 0 for none.
	Digest uint64
}

// SuspectReport is what one process tells another about suspects.
type SuspectReport struct{ options SuspectReportOptions }

// NewSuspectReport returns a report.
func NewSuspectReport(o SuspectReportOptions) *SuspectReport { return &SuspectReport{options: o} }

// Suspects returns the suspects that the receiver may lack.
func (r *SuspectReport) Suspects() []Suspect { return r.options.Suspects }

// Digest returns the digest of all suspects that the sender knows; 0 for none.
func (r *SuspectReport) Digest() uint64 { return r.options.Digest }
