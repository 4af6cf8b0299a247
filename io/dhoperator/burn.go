package dhoperator

import (
	"cmp"
	"slices"
)

// MergeBurn merges the rows of several instances into one row for each
// objective and organisation, and sorts them by descending burn of the last hour.
func MergeBurn(rows []Burn) []Burn {
	type key struct{ objective, organisation string }
	merged := map[key]*Burn{}
	for _, r := range rows {
		k := key{r.Objective, r.Organisation}
		m, found := merged[k]
		if !found {
			merged[k] = &r
			continue
		}
		m.merge(r)
	}
	out := make([]Burn, 0, len(merged))
	for _, m := range merged {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Burn) int {
		return cmp.Or(
			-cmp.Compare(a.Burn1h, b.Burn1h), -cmp.Compare(a.Burn6h, b.Burn6h),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Organisation, b.Organisation),
		)
	})
	return out
}

// merge adds another instance's row. The burns of all windows are weighted by
// the requests of the six-hour window, because rows hold no request counts of
// the shorter windows.
func (b *Burn) merge(o Burn) {
	total := float64(b.Total + o.Total)
	if total == 0 {
		return
	}
	weight, otherWeight := float64(b.Total)/total, float64(o.Total)/total
	b.Burn5m = b.Burn5m*weight + o.Burn5m*otherWeight
	b.Burn30m = b.Burn30m*weight + o.Burn30m*otherWeight
	b.Burn1h = b.Burn1h*weight + o.Burn1h*otherWeight
	b.Burn6h = b.Burn6h*weight + o.Burn6h*otherWeight
	b.Total += o.Total
	b.Bad += o.Bad
	b.Alert = worseAlert(b.Alert, o.Alert)
}

// worseAlert returns the more urgent of two alerts.
func worseAlert(a, b string) string {
	for _, alert := range []string{"page", "ticket"} {
		if a == alert || b == alert {
			return alert
		}
	}
	return a
}
