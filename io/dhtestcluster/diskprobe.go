package dhtestcluster

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

const (
	// diskStallTime is the time to sync a small file from which on the machine's disk stalls: control
	// processes elect a leader that syncs faster.
	diskStallTime = 400 * time.Millisecond
	probeInterval = 20 * time.Millisecond
)

// DiskProbe records when the machine's disk stalls, under all processes alike. Its methods are safe for
// concurrent use.
type DiskProbe struct {
	mutex        sync.Mutex
	syncingSince time.Time // zero between syncs
	stalledTime  time.Duration
	stalls       int
	lastStallAt  time.Time
}

// StartDiskProbe syncs a small file again and again until the test ends.
func StartDiskProbe(t *testing.T) *DiskProbe {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "probe"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p, ended := &DiskProbe{}, make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			p.sync(t, file)
			time.Sleep(probeInterval)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	})
	return p
}

func (p *DiskProbe) sync(t *testing.T, file *os.File) {
	p.begin(time.Now())
	if _, err := file.WriteAt([]byte(time.Now().String()), 0); err != nil {
		t.Error(err)
	}
	if err := file.Sync(); err != nil {
		t.Error(err)
	}
	if took := p.end(time.Now()); took >= diskStallTime {
		t.Logf("the machine's disk stalled for %v", took)
	}
}

func (p *DiskProbe) begin(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.syncingSince = now
}

// end returns the time that the sync took.
func (p *DiskProbe) end(now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	took := now.Sub(p.syncingSince)
	p.syncingSince = time.Time{}
	if took >= diskStallTime {
		p.stalledTime += took
		p.stalls++
		p.lastStallAt = now
	}
	return took
}

// currentStall returns for how long a stall lasts that hasn't ended, 0 without one. p.mutex is held.
func (p *DiskProbe) currentStall(now time.Time) time.Duration {
	if took := now.Sub(p.syncingSince); !p.syncingSince.IsZero() && took >= diskStallTime {
		return took
	}
	return 0
}

// Stalls returns the number of stalls that have ended.
func (p *DiskProbe) Stalls() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stalls
}

// StalledTime returns for how long the disk has stalled until now.
func (p *DiskProbe) StalledTime() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stalledTime + p.currentStall(time.Now())
}

// LastStallAt returns the end of the last stall, now if one goes on, and the zero time if there was none.
func (p *DiskProbe) LastStallAt() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now := time.Now(); p.currentStall(now) > 0 {
		return now
	}
	return p.lastStallAt
}
