package dhcommand

import (
	"html/template"
	"math"
	"os"

	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhoperator"
)

// Width of a full bar, in pixels, and the burn at which a bar is full.
const (
	barWidth    = 240
	fullBarBurn = 20.0
)

var burnPage = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bar": func(burn float64) int { return int(math.Min(1, burn/fullBarBurn) * barWidth) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px system-ui,sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:left;border-bottom:1px solid #ddd}
.page{background:#fde0e0}.ticket{background:#fdf3d8}rect.back{fill:#eee}rect.fast{fill:#c0392b}rect.slow{fill:#e08e0b}
</style></head><body>
<h1>Service-level burn</h1>
<p>A burn of 1 uses up the error budget exactly. Bars are full at 20. The highest burn comes first.</p>
<table><tr><th>Alert</th><th>Route</th><th>Organisation</th><th>Objective</th><th>Burn over 1 h (red) and 6 h (amber)</th><th>1 h</th><th>6 h</th><th>Bad</th><th>Total</th></tr>
{{range .}}<tr class="{{.Alert}}"><td>{{.Alert}}</td><td>{{.Route}}</td><td>{{.Organisation}}</td><td>{{.Objective}}</td>
<td><svg width="240" height="20" role="img" aria-label="burn"><rect class="back" width="240" height="20"/><rect class="fast" width="{{bar .Burn1h}}" height="9"/><rect class="slow" y="11" width="{{bar .Burn6h}}" height="9"/></svg></td>
<td>{{printf "%.2f" .Burn1h}}</td><td>{{printf "%.2f" .Burn6h}}</td><td>{{.Bad}}</td><td>{{.Total}}</td></tr>
{{else}}<tr><td colspan="9">No requests on routes with objectives yet.</td></tr>
{{end}}</table></body></html>
`))

// writeBurnPage writes the burn as one self-contained page.
func writeBurnPage(path string, rows []dhoperator.Burn) error {
	f, err := os.Create(path)
	if err != nil {
		return dherrors.New(dherrors.KindMalformed, err.Error(), "name a file that can be written")
	}
	if err := burnPage.Execute(f, rows); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
