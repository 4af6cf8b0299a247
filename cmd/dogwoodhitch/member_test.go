package main

import (
	"testing"

	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhoperator"
	"dogwoodhitch/io/dhtestcluster"
)

// voterStatus returns the status of a voter as the leader reports it.
func voterStatus(t *testing.T, c *dhtestcluster.Cluster, name string) (dhoperator.VoterStatus, bool) {
	s, err := c.Client(c.Leader(c.Voters()...)).Status(t.Context())
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
	added := c.AddVoter("c4")
	var folderID string
	dhtestcluster.Eventually(t, "the new process logs its folder ID", func() bool {
		folderID = added.FolderID()
		return folderID != ""
	})
	dhtestcluster.Eventually(t, "the voter is added", func() bool {
		err := c.Client(c.Leader(c.Voters()...)).EditVoter(t.Context(), "add", added.Name(), added.Peers(), folderID)
		return err == nil
	})
	dhtestcluster.Eventually(t, "the new voter has its vote", func() bool {
		v, found := voterStatus(t, c, added.Name())
		return found && !v.Learner && v.Advice == ""
	})
	for range 2 {
		leader := c.Leader(c.Voters()...)
		removed := c.VotersExcept(leader)[0]
		if removed == added {
			removed = c.VotersExcept(leader)[1]
		}
		dhtestcluster.Eventually(t, removed.Name()+" is removed", func() bool {
			err := c.Client(c.Leader(c.Voters()...)).EditVoter(t.Context(), "remove", removed.Name(), "", "")
			return err == nil || dherrors.KindOf(err) == "memberUnknown"
		})
		c.KillVoter(removed)
		c.ApplyChange(organisationObject("without-" + removed.Name()))
	}
}
