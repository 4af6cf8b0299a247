package dhprocess

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhjournal"
	"dogwoodhitch/io/dhtime"
)

// TestStopWaitsForAStalledDisk stops a control process while a file of its data folder is being
// written, to a pipe that nobody reads: the process must end within its time all the same.
func TestStopWaitsForAStalledDisk(t *testing.T) {
	for _, file := range []string{"suspects.tmp", "snapshot-00000000000000000007.tmp"} {
		t.Run(file, func(t *testing.T) {
			c := newCluster(t, 1)
			o := c.voters[0].options
			c.voters[0].Stop()
			o.DataFolder = c.openFolder(c.folders[0], o.Name)
			stalled := filepath.Join(c.folders[0], file)
			if err := syscall.Mkfifo(stalled, 0o600); err != nil {
				t.Fatal(err)
			}
			snapshot := dhmessage.NewSnapshot(dhmessage.SnapshotOptions{Index: 7, Term: 9})
			if err := o.DataFolder.SaveSnapshot(dheffect.NewSaveSnapshot(dheffect.SaveSnapshotOptions{Snapshot: snapshot, Term: 9})); err != nil {
				t.Fatal(err)
			}
			p := c.start(o)
			t.Cleanup(func() {
				if reader, err := os.OpenFile(stalled, os.O_RDONLY|syscall.O_NONBLOCK, 0); err == nil {
					t.Cleanup(func() { reader.Close() })
				}
			})
			p.suspectsToSave <- dheffect.NewSaveSuspects(dheffect.SaveSuspectsOptions{})
			time.Sleep(50 * time.Millisecond)
			stopped := make(chan struct{})
			go func() { p.Stop(); close(stopped) }()
			select {
			case <-stopped:
			case <-time.After(2500 * time.Millisecond):
				t.Error("the process hasn't ended 2.5 s after its stop, whose time is 1 s")
			}
		})
	}
}

// blockedWriter blocks until it is closed.
type blockedWriter chan struct{}

// Write implements io.Writer.
func (w blockedWriter) Write(b []byte) (int, error) {
	<-w
	return len(b), nil
}

// TestHandoverWaitsForAStalledLoop stops a control process whose loop stands still, as on a disk that
// hangs: the process must end once the times for its handover and its closing are over.
func TestHandoverWaitsForAStalledLoop(t *testing.T) {
	c := newCluster(t, 1)
	o := c.voters[0].options
	c.voters[0].Stop()
	o.DataFolder = c.openFolder(c.folders[0], o.Name)
	o.Managed = &dhcontrol.ManagedOptions{Address: o.Listen.Peers, Region: "r", Votes: 1}
	o.HandoverTimeout, o.CloseTimeout = 500, 300
	disk := make(blockedWriter)
	o.Journal = dhjournal.New(disk)
	p := c.start(o)
	t.Cleanup(func() { close(disk) })
	for range 1000 { // more than the journal buffers
		p.loop.TryPost(dhevent.NewSeedsChanged(1, nil))
	}
	time.Sleep(100 * time.Millisecond)
	if p.loop.QueueLength() == 0 {
		t.Fatal("the loop doesn't stand still")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan error, 1)
	go func() { ended <- p.serveUntil(ctx) }()
	limit := dhtime.Duration(o.HandoverTimeout+o.CloseTimeout) + handlerTimeout + endTimeout + time.Second
	select {
	case <-ended:
	case <-time.After(limit):
		t.Errorf("the process hasn't ended %v after its stop", limit)
	}
}
