package main

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// diskStallTime is the time to sync a small file from which on the machine's disk stalls: control
// processes elect a leader that syncs faster.
const diskStallTime = 400 * time.Millisecond

// diskProbe measures for how long the machine's disk has stalled, under all processes alike.
type diskProbe struct {
	mutex        sync.Mutex
	stalled      time.Duration
	syncingSince time.Time
}

// startDiskProbe syncs a small file again and again until the test ends.
func startDiskProbe(t *testing.T) *diskProbe {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "probe"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p, ended := &diskProbe{syncingSince: time.Now()}, make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			p.sync(t, file)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		file.Close()
	})
	return p
}

func (p *diskProbe) sync(t *testing.T, file *os.File) {
	p.mutex.Lock()
	p.syncingSince = time.Now()
	p.mutex.Unlock()
	if _, err := file.WriteAt([]byte(time.Now().String()), 0); err != nil {
		t.Error(err)
	}
	if err := file.Sync(); err != nil {
		t.Error(err)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if took := time.Since(p.syncingSince); took >= diskStallTime {
		p.stalled += took
		t.Logf("the machine's disk stalled for %v", took)
	}
	p.syncingSince = time.Time{}
}

// stalledTime returns for how long the disk has stalled until now.
func (p *diskProbe) stalledTime() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if took := time.Since(p.syncingSince); !p.syncingSince.IsZero() && took >= diskStallTime {
		return p.stalled + took
	}
	return p.stalled
}
