package dhcontrol

import "testing"

// TestLeaderThatStopsLosesItsVoteFirst plans for two voters that stop, of which one leads.
func TestLeaderThatStopsLosesItsVoteFirst(t *testing.T) {
	leader := seat{isVoter: true, isLeader: true, isInContact: true, isLeaving: true}
	stopping := seat{isVoter: true, isInContact: true, isLeaving: true}
	voter := seat{isVoter: true, isInContact: true}
	if i, change := planVote([]seat{leader, voter, stopping, voter, voter, voter}, 5); i != 2 || change != demoteLeaving {
		t.Errorf("planVote returned %d, %q, want 2, %q", i, change, demoteLeaving)
	}
	if i, change := planVote([]seat{leader, voter, voter, voter, voter, voter}, 5); i != 0 || change != demoteLeaving {
		t.Errorf("planVote returned %d, %q, want 0, %q", i, change, demoteLeaving)
	}
}
