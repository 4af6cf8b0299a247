package dhreducer

import (
	"slices"
	"strings"
	"testing"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// contact returns what a machine tells of its contact with the consensus group.
func (n *network) contact(m *machine) dheffect.Contact {
	var out dheffect.List
	Reduce(m.state, dhevent.NewContactRequested(n.clock(m), dhevent.ContactRequestedOptions{}), &out)
	return out.Items()[0].(*dheffect.ContactReply).Contact()
}

// TestProcessDoesNotTellWhyNobodyLeads asks the leader, a follower and the learner of six control
// processes for their contact, and again after three voters and the leader have stopped. Candidacies
// must leave one line each.
func TestProcessDoesNotTellWhyNobodyLeads(t *testing.T) {
	n := newManagedNetwork(t, 6)
	n.run(4000)
	lines := map[string][]string{}
	n.recordLog = func(m *machine, e *dheffect.Log) {
		if e.Layer() == "consensus" {
			lines[m.name] = append(lines[m.name], e.Text())
		}
	}
	lead, voters := n.leaderAndVoters()
	follower, learner := voters[0], n.learnerOf()
	check := func(m *machine, role dheffect.Role, heard int, election string) {
		t.Helper()
		c := n.contact(m)
		if c.Role() != role || c.Term() == 0 || c.VotersHeard() != heard || !strings.Contains(c.Election(), election) {
			t.Errorf("%s tells role %q, term %d, %d voters heard, election %q; want %q, %d, %q", m.name, c.Role(), c.Term(), c.VotersHeard(), c.Election(), role, heard, election)
		}
	}
	hears := "hears the leader " + lead.name
	check(lead, dheffect.RoleLeader, 5, "leads")
	check(follower, dheffect.RoleFollower, 2, hears)
	check(learner, dheffect.RoleLearner, 1, hears)
	n.stopAll(append(voters[1:], lead))
	n.run(5000)
	check(follower, dheffect.RoleCandidate, 1, "pre-vote: 1 of 5 votes granted, 0 refused, 3 needed")
	check(learner, dheffect.RoleLearner, 0, "may not stand: has no vote")
	c := n.contact(follower)
	i := slices.IndexFunc(c.Voters(), func(v dheffect.VoterContact) bool { return v.Name() == lead.name })
	if since := c.Voters()[i].SinceHeard(); len(c.Voters()) != 4 || since < 5000 || since > 5200 || since != c.SinceLeader() {
		t.Errorf("%s hears %v, and the leader %d ms ago; want the leader among four, heard 5 s ago", follower.name, c.Voters(), c.SinceLeader())
	}
	want := []string{"became candidate: hears no leader", "wins no election: pre-vote: 1 of 5 votes granted, 0 refused, 3 needed"}
	if got := lines[follower.name]; !slices.Equal(got, want) {
		t.Errorf("%s logs %q, want %q", follower.name, got, want)
	}
	n.start(lead)
	n.start(voters[1])
	n.run(4000)
	gaveWay := slices.ContainsFunc(lines[follower.name], func(s string) bool { return strings.HasPrefix(s, "gives way to ") })
	if n.contact(follower).Role() != dheffect.RoleLeader && !gaveWay {
		t.Errorf("%s is %s and logs %q", follower.name, n.contact(follower).Role(), lines[follower.name])
	}
}
