package dhoperator

import (
	"encoding/hex"

	"dogwoodhitch/core/dhburn"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

// Status is the state of the system as one process sees it. Version is in force
// on the process, InForce on every instance, and AgeMs is the time since Version
// was last confirmed as current. Only voters set Term, CommitIndex, ClaimCount and
// Voters, and only the leader sets Instances.
type Status struct {
	Name          string           `json:"name"`
	Version       uint64           `json:"version"`
	InForce       uint64           `json:"inForce"`
	AgeMs         int64            `json:"ageMs"`
	EverConfirmed bool             `json:"confirmed"`
	Leader        string           `json:"leader"`
	IsLeader      bool             `json:"leads"`
	Term          uint64           `json:"term,omitempty"`
	CommitIndex   uint64           `json:"commit,omitempty"`
	ClaimCount    int              `json:"claims,omitempty"`
	Voters        []VoterStatus    `json:"voters,omitempty"`
	Instances     []InstanceStatus `json:"instances,omitempty"`
	Drains        []DrainStatus    `json:"drains,omitempty"`
}

// DrainStatus describes the progress of a drain.
type DrainStatus struct {
	Name         string `json:"name"`
	Target       string `json:"target"`
	MovedPercent int    `json:"movedPercent"`
	Paused       bool   `json:"paused,omitempty"`
	RemainingMs  int64  `json:"remainingMs"`
}

// VoterStatus describes a member of the consensus group. FolderID identifies
// the data folder that has the vote, RespondingFolderID the one that responds. Lag
// is the number of log entries that the member lacks; only the leader knows it, and
// other voters report 0.
type VoterStatus struct {
	Name               string `json:"name"`
	Address            string `json:"address"`
	FolderID           string `json:"folder"`
	RespondingFolderID string `json:"answers,omitempty"`
	Learner            bool   `json:"learner,omitempty"`
	Lag                uint64 `json:"lag"`
	SinceLastContactMs int64  `json:"silentMs"`
	HasResponded       bool   `json:"heard"`
	Advice             string `json:"advice,omitempty"`
}

// InstanceStatus describes an entry instance. Version is the version that it has
// acknowledged.
type InstanceStatus struct {
	Name               string `json:"name"`
	Zone               string `json:"zone"`
	Version            uint64 `json:"version"`
	SinceLastContactMs int64  `json:"silentMs"`
	HasAcknowledged    bool   `json:"heard"`
	Leaving            bool   `json:"leaving,omitempty"`
}

// Accepted is an accepted change set. If its content is no longer kept, ContentOmitted is set, and
// nothing tells what it changed.
type Accepted struct {
	Version        uint64   `json:"version"`
	ID             string   `json:"id"`
	Author         string   `json:"author"`
	Puts           []string `json:"puts,omitempty"`
	Deletes        []string `json:"deletes,omitempty"`
	Blocks         int      `json:"blocks,omitempty"`
	ContentOmitted bool     `json:"contentOmitted,omitempty"`
}

// Pool describes the upstreams of a service at one instance. Waiting requests wait
// for a slot, and RemoteRunning requests came from other instances.
type Pool struct {
	Service       string     `json:"service"`
	Waiting       int        `json:"waiting"`
	RemoteRunning int        `json:"remote"`
	Upstreams     []Upstream `json:"upstreams"`
}

// Upstream describes one upstream at one instance.
type Upstream struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Slots     int     `json:"slots"`
	Running   int     `json:"running"`
	LatencyMs float64 `json:"latencyMs"`
	State     string  `json:"state"`
}

// Burn is the burn rate of an objective's error budget, for one organisation. A
// rate of 1 uses up the budget exactly. Total and Bad count the requests of the
// last six hours.
type Burn struct {
	Objective    string  `json:"objective"`
	Route        string  `json:"route"`
	Organisation string  `json:"organisation"`
	Target       float64 `json:"target"`
	Total        uint64  `json:"total"`
	Bad          uint64  `json:"bad"`
	Burn5m       float64 `json:"burn5m"`
	Burn30m      float64 `json:"burn30m"`
	Burn1h       float64 `json:"burn1h"`
	Burn6h       float64 `json:"burn6h"`
	Alert        string  `json:"alert"`
}

// Claim describes the claim of a request that must run at most once. Status is
// the HTTP status of the recorded response, if there is one.
type Claim struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	State        string `json:"state"`
	Instance     string `json:"instance"`
	Digest       string `json:"digest"`
	Status       int    `json:"status,omitempty"`
}

// Changed is the response to a change set.
type Changed struct {
	Version uint64 `json:"version"`
	InForce bool   `json:"inForce"`
	DryRun  bool   `json:"dryRun,omitempty"`
}

func statusOf(s dheffect.Status) Status {
	o := Status{
		Name: s.Name(), Version: s.Version(), InForce: s.InForce(), AgeMs: s.Age().Milliseconds(),
		EverConfirmed: s.EverConfirmed(), Leader: s.Leader(), IsLeader: s.IsLeader(), Term: s.Term(), CommitIndex: s.CommitIndex(), ClaimCount: s.ClaimCount(),
	}
	for _, v := range s.Members() {
		o.Voters = append(o.Voters, VoterStatus{
			Name: v.Name(), Address: v.Address(), FolderID: v.FolderID(), RespondingFolderID: v.RespondingFolderID(), Learner: v.Learner(),
			Lag: v.Lag(), SinceLastContactMs: v.SinceLastContact().Milliseconds(), HasResponded: v.HasResponded(), Advice: v.Advice(),
		})
	}
	for _, i := range s.Instances() {
		o.Instances = append(o.Instances, InstanceStatus{
			Name: i.Name(), Zone: i.Zone(), Version: i.Version(),
			SinceLastContactMs: i.SinceLastContact().Milliseconds(), HasAcknowledged: i.HasAcknowledged(), Leaving: i.Leaving(),
		})
	}
	for _, d := range s.Drains() {
		o.Drains = append(o.Drains, DrainStatus{
			Name: d.Name(), Target: d.Target(), MovedPercent: d.MovedPercent(),
			Paused: d.Paused(), RemainingMs: d.Remaining().Milliseconds(),
		})
	}
	return o
}

func acceptedOf(h *dheffect.HistoryReply) []Accepted {
	out := []Accepted{}
	for _, r := range h.Older() {
		out = append(out, Accepted{Version: r.Version(), ID: r.ID(), Author: r.Author(), ContentOmitted: true})
	}
	for _, a := range h.Changes() {
		x := Accepted{Version: a.Version(), ID: a.ChangeSet().ID(), Author: a.ChangeSet().Author(), Blocks: len(a.ChangeSet().Blocks())}
		for _, o := range a.ChangeSet().Puts() {
			x.Puts = append(x.Puts, o.Ref().String())
		}
		for _, r := range a.ChangeSet().Deletes() {
			x.Deletes = append(x.Deletes, r.String())
		}
		out = append(out, x)
	}
	return out
}

func poolsOf(list []dhsteer.PoolStatus) []Pool {
	out := []Pool{}
	for _, p := range list {
		x := Pool{Service: p.Service(), Waiting: p.Waiting(), RemoteRunning: p.RemoteRunning(), Upstreams: []Upstream{}}
		for _, u := range p.Upstreams() {
			x.Upstreams = append(x.Upstreams, Upstream{
				Name: u.Name(), Address: u.Address(), Slots: u.Slots(),
				Running: u.Running(), LatencyMs: u.Latency(), State: u.State(),
			})
		}
		out = append(out, x)
	}
	return out
}

func burnOf(rows []dhburn.Row) []Burn {
	out := []Burn{}
	for _, r := range rows {
		out = append(out, Burn{
			Objective: r.Objective(), Route: r.Route(), Organisation: r.Organisation(), Target: r.Target(),
			Total: r.Total(), Bad: r.Bad(), Burn5m: r.Burn5m(), Burn30m: r.Burn30m(),
			Burn1h: r.Burn1h(), Burn6h: r.Burn6h(), Alert: string(r.Alert()),
		})
	}
	return out
}

func claimOf(c dhmessage.ClaimRecord) Claim {
	digest := c.Digest()
	o := Claim{
		Organisation: c.Key().Organisation(), Key: c.Key().Key(), State: c.State().String(),
		Instance: c.Claimant().Instance(), Digest: hex.EncodeToString(digest[:]),
	}
	if c.Response() != nil {
		o.Status = c.Response().Status()
	}
	return o
}
