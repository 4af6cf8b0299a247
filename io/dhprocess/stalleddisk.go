package dhprocess

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/io/dhtime"
)

// diskStallTime is the time to sync files from which on a line is logged. The other voters wait
// about as long for a leader.
const diskStallTime = time.Duration(dhconsensus.ElectionTimeout) * time.Millisecond

// diskWatch detects and logs stalls of the disk, for which the control loop waits.
type diskWatch struct {
	clock dhtime.Clock
	log   *logrus.Entry
	// syncingSince is when the function that runs was called, in milliseconds; 0 if none runs.
	syncingSince atomic.Int64
}

// stalledFor returns for how long files are being synced if the disk stalls, or 0.
func (w *diskWatch) stalledFor() dhclock.Millis {
	since := dhclock.Millis(w.syncingSince.Load())
	if d := w.clock.Now().Since(since); since != 0 && d >= dhconsensus.ElectionTimeout {
		return d
	}
	return 0
}

// run calls a function that syncs files. If that takes long, it logs a line meanwhile, since the
// process may be killed before the end, and one with the time that it took.
func (w *diskWatch) run(sync func() error) error {
	startedAt := w.clock.Now()
	w.syncingSince.Store(int64(startedAt))
	defer w.syncingSince.Store(0)
	pending := time.AfterFunc(diskStallTime, func() { w.log.Warn("the disk stalls: the control loop waits until files are synced") })
	err := sync()
	if !pending.Stop() {
		w.log.WithFields(logrus.Fields{"ms": w.clock.Now().Since(startedAt).Milliseconds()}).Warn("the disk stalled: files were synced late")
	}
	return err
}
