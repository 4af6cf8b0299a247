package dhconsensus

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Bounds of the entries that a member has been sent and hasn't acknowledged.
const (
	// maxInFlightBytes is their approximate size from which on the member gets no further ones until
	// it responds: a late member, or a late leader, has less to do then and not more.
	maxInFlightBytes = 256 << 10
	// minOvertakenBytes is their size from which on heartbeats may overtake them. Smaller messages
	// are sent in their order.
	minOvertakenBytes = 16 << 10
	// transferRate is the rate at which entries must reach a member, in bytes a millisecond. Those that
	// had the time for it, beside twice the last response time, and aren't acknowledged count as lost.
	transferRate = 512
	// maxResponseTime bounds the response time that counts, in milliseconds.
	maxResponseTime dhclock.Millis = 1000
	// maxResendDoublings bounds how often the time until entries count as lost is doubled.
	maxResendDoublings = 2
)

// inFlight are the entries that a member has been sent and hasn't acknowledged.
type inFlight struct {
	batches []sentBatch // the oldest first
	bytes   int
	// since is when the oldest of them was sent, or when a response last acknowledged a part of them.
	since dhclock.Millis
	// losses counts how often in a row they were lost.
	losses int
	// responseTime is the time from sending the entries that were acknowledged last to their response.
	responseTime dhclock.Millis
}

// sentBatch is the entries of one message.
type sentBatch struct {
	last   uint64 // index of the last entry
	bytes  int
	sentAt dhclock.Millis
}

// record records entries that are sent.
func (f *inFlight) record(now dhclock.Millis, last uint64, bytes int) {
	if len(f.batches) == 0 {
		f.since = now
	}
	f.batches = append(f.batches, sentBatch{last: last, bytes: bytes, sentAt: now})
	f.bytes += bytes
}

// acknowledge removes the entries up to an index.
func (f *inFlight) acknowledge(now dhclock.Millis, index uint64) {
	for len(f.batches) > 0 && f.batches[0].last <= index {
		f.bytes -= f.batches[0].bytes
		f.responseTime = min(maxResponseTime, now.Since(f.batches[0].sentAt))
		f.batches = f.batches[1:]
		f.since, f.losses = now, 0
	}
}

// lose drops all entries, which are sent again.
func (f *inFlight) lose() {
	*f = inFlight{losses: min(f.losses+1, maxResendDoublings), responseTime: f.responseTime}
}

// mayBeOvertaken reports whether entries are in flight that heartbeats may overtake, and that may still
// arrive.
func (f *inFlight) mayBeOvertaken(now dhclock.Millis) bool {
	timeout := (HeartbeatInterval + 2*f.responseTime + dhclock.Millis(f.bytes/transferRate)) << f.losses
	return f.bytes >= minOvertakenBytes && now.Since(f.since) < timeout
}

// hasRoom reports whether further entries of some size may be sent.
func (f *inFlight) hasRoom(bytes int) bool { return dhmessage.Fits(f.bytes, bytes, maxInFlightBytes) }
