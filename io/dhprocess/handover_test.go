package dhprocess

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhdisk"
	"dogwoodhitch/io/dhsettings"
)

// newManagedCluster starts control processes that manage their votes; three of them found the
// group.
func newManagedCluster(t *testing.T, processes, votes int) *cluster {
	t.Helper()
	c := newCluster(t, 0)
	var founders []dhmessage.Member
	for i := range 3 {
		v := dhsettings.NewVoter(fmt.Sprint("c", i+1), freeAddress(t))
		c.voterSettings = append(c.voterSettings, v)
		founders = append(founders, dhmessage.NewMember(dhmessage.NewPeer(v.Name(), ""), v.Address(), false))
	}
	for i := range processes {
		v := dhsettings.NewVoter(fmt.Sprint("c", i+1), freeAddress(t))
		if i < len(founders) {
			v = c.voterSettings[i]
		}
		o := c.options(v.Name(), "", dhsettings.RoleControl)
		o.Listen.Peers = v.Address()
		o.Managed = &dhcontrol.ManagedOptions{Address: v.Address(), Region: "r", Votes: votes}
		o.HandoverTimeout = 5000
		path := filepath.Join(t.TempDir(), v.Name())
		if i < len(founders) {
			if err := dhdisk.Found(path, v.Name(), founders); err != nil {
				t.Fatal(err)
			}
		}
		o.DataFolder = c.openFolder(path, v.Name())
		c.voters = append(c.voters, c.start(o))
	}
	return c
}

// votes returns whether each member has a vote, by name, as a process knows it.
func (c *cluster) votes(p *Process) map[string]bool {
	c.t.Helper()
	s, err := p.ControlClient().Status(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	list := map[string]bool{}
	for _, m := range s.Members() {
		list[m.Name()] = !m.Learner()
	}
	return list
}

// waitForMembers waits until a process knows a number of members.
func (c *cluster) waitForMembers(p *Process, number int) {
	c.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); len(c.votes(p)) < number; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("%d members haven't joined within 10 s: %v", number, c.votes(p))
		}
	}
}

// TestStoppedControlProcessKeepsItsVote stops a founder of a group with a spare member, as
// SIGTERM does. Once the founder has ended, the spare member must have the vote.
func TestStoppedControlProcessKeepsItsVote(t *testing.T) {
	c := newManagedCluster(t, 4, 3)
	spare := c.voters[3]
	c.waitForMembers(spare, 4)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.voters[0].serveUntil(ctx); err != nil {
		t.Fatal(err)
	}
	if v := c.votes(spare); v["c1"] || !v["c4"] {
		t.Errorf("after the stop of c1 the votes are %v", v)
	}
}
