package main

import (
	"testing"

	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhoperator"
)

// voterStatus returns the status of a voter as the leader reports it.
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

// TestAddAndRemoveVoters adds a voter, which must get its vote once it has caught
// up, and then removes two of the three original voters, one after the other and
// each of them while it follows another leader. Each time the remaining voters
// must accept a change without the removed one.
func TestAddAndRemoveVoters(t *testing.T) {
	c := newCluster(t, 3, "a1")
	added := c.newProcess("c4", "control", "")
	c.voters = append(c.voters, added)
	c.writeSettings(added)
	c.start(added)
	var folderID string
	eventually(t, "the new process logs its folder ID", func() bool {
		folderID = c.folderIDOf(added)
		return folderID != ""
	})
	eventually(t, "the voter is added", func() bool {
		err := c.client(c.leader(c.voters...)).EditVoter(t.Context(), "add", added.name, added.peers, folderID)
		return err == nil
	})
	eventually(t, "the new voter has its vote", func() bool {
		v, found := c.voterStatus(added.name)
		return found && !v.Learner && v.Advice == ""
	})
	for range 2 {
		leader := c.leader(c.voters...)
		removed := c.votersExcept(leader)[0]
		if removed == added {
			removed = c.votersExcept(leader)[1]
		}
		eventually(t, removed.name+" is removed", func() bool {
			err := c.client(c.leader(c.voters...)).EditVoter(t.Context(), "remove", removed.name, "", "")
			return err == nil || dherrors.KindOf(err) == "memberUnknown"
		})
		c.kill(removed)
		c.voters = c.votersExcept(removed)
		c.applyChange(organisationObject("without-" + removed.name))
	}
}
