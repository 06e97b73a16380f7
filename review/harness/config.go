//go:build review

package main

import (
	"encoding/json"
	"fmt"
)

const (
	host       = "ficu95.example"
	kindRead   = "idempotent"
	kindOnce   = "non_idempotent"
	kindUpload = "upload"
)

// route is one row of the operator's configuration.
type route struct{ name, prefix, kind, service string }

// config returns a configuration as the operator writes it to the store.
func config(version int, routes []route, services ...string) []byte {
	var rows, serviceRows [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, host, r.prefix, r.kind, 2500, 800, 1, nil, 2, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 130, "h1", false})
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "base_version": fmt.Sprintf("%08x", version-1),
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms",
			"target_latency_ms", "priority", "backends", "max_attempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "protocol", "tls"}, "rows": serviceRows},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000,
			"idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // does not happen: every value can be encoded
	}
	return b
}
