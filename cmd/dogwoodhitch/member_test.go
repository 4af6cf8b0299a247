package main

import (
	"testing"

	"dogwoodhitch/io/dhfault"
	"dogwoodhitch/io/dhoperator"
)

// voterStatus returns what the leader says about a voter.
func (c *cluster) voterStatus(name string) (dhoperator.VoterStatus, bool) {
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

// TestAddAndRemoveVoters adds a voter, which gets its vote once it has caught up, and
// removes an old one: first a voter that follows, then the leader itself.
func TestAddAndRemoveVoters(t *testing.T) {
	c := startCluster(t, 3, "a1")
	added := c.newProcess("c4", "control", "")
	c.voters = append(c.voters, added)
	c.writeSettings(added)
	c.start(added)
	var folder string
	eventually(t, "the new process says its folder", func() bool {
		folder = c.folderIDOf(added)
		return folder != ""
	})
	eventually(t, "the voter is added", func() bool {
		err := c.client(c.leader(c.voters...)).EditVoter(t.Context(), "add", added.name, added.peers, folder)
		return err == nil
	})
	eventually(t, "the new voter has its vote", func() bool {
		v, found := c.voterStatus(added.name)
		return found && !v.Learner && v.Advice == ""
	})
	for range 2 {
		lead := c.leader(c.voters...)
		gone := c.votersExcept(lead)[0]
		if gone == added {
			gone = c.votersExcept(lead)[1]
		}
		eventually(t, gone.name+" is removed", func() bool {
			err := c.client(c.leader(c.voters...)).EditVoter(t.Context(), "remove", gone.name, "", "")
			return err == nil || dhfault.KindOf(err) == "memberUnknown"
		})
		c.kill(gone)
		c.voters = c.votersExcept(gone)
		c.apply(organisationObject("without-" + gone.name))
	}
}
