package dhprocess

import (
	"strings"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// TestBytesAreCountedByDistanceAndKind counts messages to processes in the same zone, in the
// same region, in another region and of unknown place.
func TestBytesAreCountedByDistanceAndKind(t *testing.T) {
	c := newCluster(t, 1)
	p := New(c.options("i1", "a1", "entry"))
	set := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "x", Author: "test", Puts: []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a2", Region: "a"}),
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "b1", Region: "b"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "i2", Zone: "a2", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"}),
	}})
	catalog, err := dhcatalog.New().Apply(set)
	if err != nil {
		t.Fatal(err)
	}
	member := func(name, zone string) dhmessage.Member {
		return dhmessage.NewMember(dhmessage.NewPeer(name, ""), name+":1", false).WithZone(zone)
	}
	p.publish(dhview.New(dhview.Options{Catalog: catalog, Members: []dhmessage.Member{member("c1", "a1"), member("c2", "b1")}}))
	for i, to := range []string{"c1", "i2", "c2", "c9"} {
		p.countBytes(to, "poll", 10*(i+1))
	}
	var written strings.Builder
	p.metrics.Write(&written)
	for _, line := range []string{
		`dogwoodhitch_peer_bytes_total{to="zone",kind="poll"} 10`, `dogwoodhitch_peer_bytes_total{to="region",kind="poll"} 20`,
		`dogwoodhitch_peer_bytes_total{to="otherRegion",kind="poll"} 30`, `dogwoodhitch_peer_bytes_total{to="unknown",kind="poll"} 40`,
	} {
		if !strings.Contains(written.String(), line+"\n") {
			t.Errorf("the metrics lack %s; they are:\n%s", line, written.String())
		}
	}
	if got := p.metrics.CounterTotal("dogwoodhitch_peer_bytes_total"); got != 100 {
		t.Errorf("%d bytes are counted, want 100", got)
	}
}
