package main

import "ragwortwall/platform/standin"

// route is a route of the desired state.
type route struct {
	name, kind, service string
	timeoutMS, aimMS    int
	attempts            int
	gapMS               int // for streams
}

// Services of the desired state.
const (
	modelService = "dele69a"
	orderService = "xano55b"
)

// configure writes the desired state.
func configure(store *standin.Store, routes []route) {
	list := make([]any, 0, len(routes))
	for _, r := range routes {
		entry := map[string]any{
			"name": r.name, "host": host, "path_prefix": "/" + r.name + "/", "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": r.aimMS,
			"priority": 1, "service": r.service, "max_attempts": r.attempts, "allow_anonymous": false,
		}
		if r.kind == "stream" {
			entry["sticky"], entry["resume_streams"], entry["target_gap_ms"] = true, true, r.gapMS
		}
		list = append(list, entry)
	}
	store.Put("config", "main", map[string]any{
		"version": 1, "routes": list,
		"services": []any{
			map[string]any{"name": modelService, "health_check_path": "/healthz", "max_connections": 150, "engine": map[string]any{
				"slots": 12, "kv_tokens": 55000, "backups": true, "moves": true, "handle_ttl_s": 4.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": orderService, "health_check_path": "/healthz", "max_connections": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}}},
	})
}
