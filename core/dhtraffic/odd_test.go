package dhtraffic

import (
	"fmt"
	"math"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhview"
)

// TestUnusableRecordGetsRequests puts records that this release refuses beside those of two
// upstreams. The records must neither get requests nor change which upstream serves an object.
func TestUnusableRecordGetsRequests(t *testing.T) {
	send := func(withOdd bool) (served []string) {
		s := newPauseTest(t, true)
		if withOdd {
			c := s.View().Catalog()
			var puts []dhcatalog.Object
			for i, slots := range []int{0, -1, math.MinInt, math.MaxInt} {
				for _, zone := range []string{"a1", "unknown"} {
					puts = append(puts, dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
						Name: fmt.Sprint("odd-", i, zone), Service: "s", Address: "10.0.9.1:1", Zone: zone, Slots: slots, ColdRemaining: math.MaxInt64, Incarnation: math.MinInt64,
					}))
				}
			}
			next, err := c.Follow(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "odd", Base: c.Version(), Author: "test", Puts: puts}))
			if err != nil {
				t.Fatal(err)
			}
			s.HandleView(dhevent.NewViewPublished(900, dhevent.ViewPublishedOptions{
				View: dhview.New(dhview.Options{Catalog: next, EverConfirmed: true, ConfirmedAt: 1_000_000}),
			}))
		}
		for i := range 200 {
			forward, ok := s.send(1000, "/any/"+fmt.Sprint(i), false).(*dheffect.ForwardToUpstream)
			if !ok {
				t.Fatalf("request %d was refused", i)
			}
			served = append(served, forward.Upstream())
			s.end(1000, dhevent.AttemptEndedOptions{End: dhevent.EndAnswered, Status: 200, Latency: 1})
		}
		return served
	}
	want, got := send(false), send(true)
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("request %d went to %s, without the records to %s", i, got[i], want[i])
		}
	}
}
