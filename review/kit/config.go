//go:build review

package kit

import "encoding/json"

// Names that the cases use.
const (
	Host    = "jepu9.example"
	Service = "huvo11a"
	Tenant  = "yefi830"
	Key     = "tnfzs989anu6wsjnbanf"
)

// Config returns a complete config with one service, one tenant and two routes, in the form of the
// pages. The routes are /safe/ and /unsafe/.
func Config(version int) []byte { return ConfigWithTimeout(version, 5) }

// ConfigWithTimeout is Config with another timeout_s of the routes.
func ConfigWithTimeout(version int, timeoutS float64) []byte {
	type object = map[string]any
	route := func(name, prefix, kind string) object {
		return object{"name": name, "path_prefix": prefix, "kind": kind, "timeout_s": timeoutS, "target_latency_s": 0.8, "priority": 1, "service": Service,
			"max_attempts": 2, "public": false, "sticky": false, "home_regions": []string{}}
	}
	raw, _ := json.Marshal(object{
		"version":  version,
		"services": []object{{"name": Service, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 19.0}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants":  []object{{"name": Tenant, "api_keys": []string{Key}, "priority": 0, "rate_per_s": 0, "burst": 0, "home_regions": []string{}}},
		"hosts":    []object{{"host": Host, "paths": []object{route("r-1", "/safe/", "safe"), route("r-2", "/unsafe/", "unsafe")}}},
	})
	return raw
}
