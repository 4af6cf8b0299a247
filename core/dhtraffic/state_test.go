package dhtraffic

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
)

// BenchmarkTick measures a tick of an instance with 64 to 1024 organisations that
// have rate limits and send no requests.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{64, 256, 1024} {
		var puts []dhcatalog.Object
		for i := range n {
			name := fmt.Sprint("o", i)
			puts = append(puts, dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: name}),
				dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: name, Organisation: name, Rate: 100, Burst: 100}))
		}
		s := newTestState(b, 1, puts...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var out dheffect.List
			now := dhclock.Millis(10_000)
			for b.Loop() {
				now += 10
				s.Tick(now, &out)
				out.Reset()
			}
		})
	}
}
