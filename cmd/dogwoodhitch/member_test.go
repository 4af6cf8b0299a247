package main

import (
	"testing"

	"dogwoodhitch/io/dhfault"
	"dogwoodhitch/io/dhoperator"
)

// voterNamed returns what the leader says about a voter.
func (c *cluster) voterNamed(name string) (dhoperator.VoterStatus, bool) {
	s, err := c.client(c.leader(c.voters...)).Status(c.t.Context())
	if err != nil {
		return dhoperator.VoterStatus{}, false
	}
	for _, v := range s.Voters {
		if v.Name == name {
			return v, true
		}
	}
	return dhoperator.VoterStatus{}, false
}

// TestMembers adds a voter, which gets its vote once it has caught up, and
// removes an old one: first a voter that follows, then the leader itself.
func TestMembers(t *testing.T) {
	c := withCluster(t, 3, "a1")
	added := c.newProcess("c4", "control", "")
	c.voters = append(c.voters, added)
	c.settings(added)
	c.start(added)
	var folder string
	eventually(t, "the new process says its folder", func() bool {
		folder = c.folderOf(added)
		return folder != ""
	})
	eventually(t, "the voter is added", func() bool {
		err := c.client(c.leader(c.voters...)).EditVoter(t.Context(), "add", added.name, added.peers, folder)
		return err == nil
	})
	eventually(t, "the new voter has its vote", func() bool {
		v, found := c.voterNamed(added.name)
		return found && !v.Learner && v.Advice == ""
	})
	for range 2 {
		lead := c.leader(c.voters...)
		gone := c.others(lead)[0]
		if gone == added {
			gone = c.others(lead)[1]
		}
		eventually(t, gone.name+" is removed", func() bool {
			err := c.client(c.leader(c.voters...)).EditVoter(t.Context(), "remove", gone.name, "", "")
			return err == nil || dhfault.KindOf(err) == "memberUnknown"
		})
		c.kill(gone)
		c.voters = c.others(gone)
		c.apply(organisation("without-" + gone.name))
	}
}
