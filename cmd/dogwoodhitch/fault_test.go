package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/core/dhview"
	"dogwoodhitch/io/dhfault"
)

// votersExcept returns the voters without one.
func (c *cluster) votersExcept(p *process) []*process {
	var list []*process
	for _, v := range c.voters {
		if v != p {
			list = append(list, v)
		}
	}
	return list
}

func organisationObject(name string) string {
	return fmt.Sprintf(`{"organisation": {"name": %q}}`, name)
}

// TestKilledLeader kills the leader, then lets changes go on, then restarts
// every voter.
func TestKilledLeader(t *testing.T) {
	c := startCluster(t, 3, "a1")
	first := c.leader(c.voters...)
	c.kill(first)
	c.apply(organisationObject("after-the-kill"))
	c.start(first)
	for _, v := range c.voters {
		c.kill(v)
	}
	for _, v := range c.voters {
		c.start(v)
	}
	c.apply(organisationObject("after-the-restart"))
	for _, v := range c.voters {
		eventually(t, v.name+" has every change", func() bool {
			s, err := c.client(v).Status(t.Context())
			return err == nil && s.Version == c.version
		})
	}
}

// TestLostDisk deletes the data folder of a voter. The blank folder has no
// vote under the old identity; it gets one when it has caught up; then the
// loss of another voter loses nothing.
func TestLostDisk(t *testing.T) {
	c := startCluster(t, 3, "a1")
	lead := c.leader(c.voters...)
	lost := c.votersExcept(lead)[0]
	other := c.votersExcept(lead)[1]
	c.kill(lost)
	os.RemoveAll(lost.folder)
	c.start(lost)
	// With the third voter gone the blank one alone can't make a majority.
	c.kill(other)
	raw := `{"id": "no-majority", "author": "test", "base": 1, "puts": [` + organisationObject("no-majority") + `]}`
	if _, err := c.client(lead).Change(t.Context(), []byte(raw), false, false); dhfault.KindOf(err) != dhfault.KindOutcomeUnknown {
		t.Fatalf("a blank folder counted: %v", err)
	}
	c.start(other)
	eventually(t, "the change is accepted once a majority is back", func() bool {
		changed, err := c.client(c.voters...).Change(t.Context(), []byte(raw), false, true)
		return err == nil && changed.Version == 2
	})
	c.version = 2
	eventually(t, "the blank folder is let in", func() bool {
		return c.client(c.leader(c.voters...)).EditVoter(t.Context(), "replace", lost.name, "", "") == nil
	})
	eventually(t, "the blank folder has a vote", func() bool {
		s, err := c.client(c.leader(c.voters...)).Status(t.Context())
		if err != nil {
			return false
		}
		for _, v := range s.Voters {
			if v.Name == lost.name {
				return !v.Learner && v.FolderID == v.RespondingFolderID && v.Advice == ""
			}
		}
		return false
	})
	c.kill(c.leader(c.voters...))
	c.apply(organisationObject("after-the-second-loss"))
}

// TestPartitionedInstance cuts an entry instance off. It refuses keyed requests once its
// lease has run out, goes on with open routes, and comes back when the cut
// heals.
func TestPartitionedInstance(t *testing.T) {
	c := startCluster(t, 1, "a1", "b1")
	e := c.entries[1]
	c.startUpstream("gate-b1-1", e, nil)
	c.setCut(e.name, true)
	c.version++
	raw := fmt.Sprintf(`{"id": "while-cut", "author": "test", "base": %d, "deletes": [{"kind": "key", "name": "key-1"}]}`, c.version-1)
	started := time.Now()
	changed, err := c.client(c.voters...).Change(t.Context(), []byte(raw), false, true)
	if err != nil || !changed.InForce {
		t.Fatalf("%+v %v", changed, err)
	}
	// What "in force everywhere" says holds on the instance that is cut off.
	if r := sendRequest(e, http.MethodGet, "/gate/1", keyOne, "", ""); r.refusal != "configurationStale" || r.executed != "not-run" {
		t.Errorf("cut off for %v the instance gave %+v", time.Since(started), r)
	}
	if lease := time.Duration(dhview.FreshnessLease) * time.Millisecond; time.Since(started) < lease {
		t.Errorf("in force was claimed after %v, while the lease of %v held", time.Since(started), lease)
	}
	if r := sendRequest(e, http.MethodGet, "/open/1", "", "", ""); r.status != http.StatusOK {
		t.Errorf("open route gave %+v", r)
	}
	c.setCut(e.name, false)
	eventually(t, "the instance serves again", func() bool {
		return sendRequest(e, http.MethodGet, "/gate/1", keyTwo, "", "").status == http.StatusOK
	})
	if r := sendRequest(e, http.MethodGet, "/gate/1", keyOne, "", ""); r.refusal != "keyUnknown" {
		t.Errorf("the withdrawn key gave %+v", r)
	}
}

// TestPartitionedLeader cuts the leader off silently. The others go on, and the old
// leader accepts nothing.
func TestPartitionedLeader(t *testing.T) {
	c := startCluster(t, 3, "a1")
	old := c.leader(c.voters...)
	c.setCut(old.name, true)
	raw := fmt.Sprintf(`{"id": "lost", "author": "test", "base": 1, "puts": [%s]}`, organisationObject("lost"))
	answer := make(chan error)
	go func() {
		_, err := c.client(old).Change(t.Context(), []byte(raw), false, false)
		answer <- err
	}()
	eventually(t, "the others accept a change", func() bool {
		raw := fmt.Sprintf(`{"id": "kept", "author": "test", "base": 1, "puts": [%s]}`, organisationObject("kept"))
		changed, err := c.client(c.votersExcept(old)...).Change(t.Context(), []byte(raw), false, true)
		return err == nil && changed.Version == 2
	})
	c.setCut(old.name, false)
	if err := <-answer; err == nil {
		t.Error("the leader that was cut off accepted a change")
	}
	eventually(t, "the old leader has the others' change", func() bool {
		list, err := c.client(old).Objects(t.Context(), "organisation", "kept", true)
		return err == nil && list.Version == 2
	})
}

// TestFrozenLeader freezes the leader until another one leads, and wakes it: it
// accepts nothing and follows.
func TestFrozenLeader(t *testing.T) {
	c := startCluster(t, 3, "a1")
	old := c.leader(c.voters...)
	old.command.Process.Signal(syscall.SIGSTOP)
	eventually(t, "the others accept a change", func() bool {
		raw := fmt.Sprintf(`{"id": "kept", "author": "test", "base": 1, "puts": [%s]}`, organisationObject("kept"))
		changed, err := c.client(c.votersExcept(old)...).Change(t.Context(), []byte(raw), false, false)
		return err == nil && changed.Version == 2
	})
	old.command.Process.Signal(syscall.SIGCONT)
	raw := fmt.Sprintf(`{"id": "late", "author": "test", "base": 1, "puts": [%s]}`, organisationObject("late"))
	if _, err := c.client(old).Change(t.Context(), []byte(raw), false, false); dhfault.KindOf(err) != dhfault.KindConflict {
		t.Errorf("the leader that was frozen answered a stale change with %v", err)
	}
	c.version = 2
	c.apply(organisationObject("after"))
}

// TestRacingOperators lets two operators send change sets against the same
// version.
func TestRacingOperators(t *testing.T) {
	c := startCluster(t, 3, "a1")
	var won, conflicts atomic.Int64
	var group sync.WaitGroup
	for i := range 2 {
		group.Go(func() {
			raw := fmt.Sprintf(`{"id": "race-%d", "author": "test", "base": 1, "puts": [%s]}`, i, organisationObject(fmt.Sprint("race-", i)))
			_, err := c.client(c.voters[i]).Change(t.Context(), []byte(raw), false, false)
			switch {
			case err == nil:
				won.Add(1)
			case dhfault.KindOf(err) == dhfault.KindConflict && strings.Contains(err.Error(), "current version 2"):
				conflicts.Add(1)
			default:
				t.Error(err)
			}
		})
	}
	group.Wait()
	if won.Load() != 1 || conflicts.Load() != 1 {
		t.Errorf("%d won, %d got a conflict", won.Load(), conflicts.Load())
	}
	// A resend after a lost answer gets the first answer.
	for range 2 {
		raw := fmt.Sprintf(`{"id": "again", "author": "test", "base": 2, "puts": [%s]}`, organisationObject("again"))
		if changed, err := c.client(c.voters[2]).Change(t.Context(), []byte(raw), false, false); err != nil || changed.Version != 3 {
			t.Errorf("%+v %v", changed, err)
		}
	}
}

// TestGracefulShutdown stops an instance under load: no request is cut, and
// look-ups name the other instance.
func TestGracefulShutdown(t *testing.T) {
	c := startCluster(t, 1, "a1", "b1")
	slow := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		w.Write([]byte("whole"))
	}
	c.startUpstream("gate-a1-1", c.entries[0], slow)
	leaving := c.entries[0]
	var stop atomic.Bool
	var served, told atomic.Int64
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for !stop.Load() {
				// The client of this test would send a GET again by itself.
				r := sendRequest(leaving, http.MethodPost, "/gate/1", keyOne, "", "x")
				switch {
				case r.status == http.StatusOK && r.body == "whole":
					served.Add(1)
				case r.refusal == "instanceLeaving" && r.executed == "not-run":
					told.Add(1)
					return // as a caller would, to another instance
				default:
					t.Errorf("a request was cut: %+v, %v", r, r.err)
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	leaving.command.Process.Signal(syscall.SIGTERM)
	eventually(t, "look-ups name the other instance", func() bool {
		r := sendRequest(c.entries[1], http.MethodGet, "/dogwoodhitch/v1/lookup?address=192.0.2.1", "", "", "")
		return strings.Contains(r.body, c.entries[1].callers)
	})
	<-leaving.done
	stop.Store(true)
	group.Wait()
	if told.Load() != 4 {
		t.Errorf("%d of 4 callers were told that the instance leaves", told.Load())
	}
	if served.Load() == 0 || leaving.command.ProcessState.ExitCode() != 0 {
		t.Errorf("served %d, exit code %d", served.Load(), leaving.command.ProcessState.ExitCode())
	}
}
