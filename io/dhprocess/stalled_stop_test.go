package dhprocess

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
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
