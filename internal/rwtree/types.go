package rwtree

import (
	"net/http"
	"time"

	"ragwortwall/internal/rwjson"
)

// RootName is the name of the root's object. The other objects are named after
// their team, or begin with MovePrefix.
const RootName = "root"

// Root is the spec of the tree's root.
type Root struct {
	Operators map[string]Operator `json:"operators,omitempty"`
	Signing   []string            `json:"signing,omitempty"` // keys that sign cursors, in hex, newest first
}

// Operator is a person or program that may change settings.
type Operator struct {
	Key   string   `json:"key"`   // SHA-256 of the operator's key, in hex
	Teams []string `json:"teams"` // the teams whose subtrees it may change; "*" allows all teams and the root
}

// Team is the spec of a team's subtree.
type Team struct {
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Servers       map[string]Server       `json:"servers,omitempty"`
	Routes        map[string]Route        `json:"routes,omitempty"`
}

// Organisation is a customer of a team.
type Organisation struct {
	Keys   []string `json:"keys"`             // SHA-256 of each API key, in hex
	Weight int      `json:"weight,omitempty"` // share of capacity under contention; 1 if absent
}

// Server is a backend server: a model engine or a plain service.
type Server struct {
	Address  string   `json:"address"`            // IP address and port
	Zone     string   `json:"zone"`               // availability zone
	Capacity int      `json:"capacity"`           // maximum number of concurrent requests
	Versions []string `json:"versions,omitempty"` // model versions that it loads at start
	Fenced   bool     `json:"fenced,omitempty"`   // rejects orders to load or unload a version that have an old fencing token
	Leaving  bool     `json:"leaving,omitempty"`  // gets no new requests
}

// Route assigns requests of a team's organisations to backend servers. It has
// either a model or a path.
type Route struct {
	Model             string          `json:"model,omitempty"`    // the model's name in requests
	Version           string          `json:"version,omitempty"`  // the version that serves it
	Path              string          `json:"path,omitempty"`     // the prefix of a service's paths
	Servers           []string        `json:"servers"`            // names of backend servers
	IdempotentMethods []string        `json:"repeat,omitempty"`   // HTTP methods that are idempotent; GET, HEAD, OPTIONS if absent
	AllowMissingKey   bool            `json:"keyless,omitempty"`  // allow non-idempotent methods without an Idempotency-Key
	Budget            float64         `json:"budget,omitempty"`   // retries as a share of first attempts; 0.1 if absent
	SlotTimeout       rwjson.Duration `json:"patience,omitempty"` // maximum wait for a slot; 2s if absent
	Timeout           rwjson.Duration `json:"timeout,omitempty"`  // timeout of a call to a service; 30s if absent
	TokenInterval     rwjson.Duration `json:"pace,omitempty"`     // target time between tokens; 73ms if absent
}

// Defaults of the optional fields of a Route.
const (
	DefaultBudget        = 0.1
	DefaultSlotTimeout   = 2 * time.Second
	DefaultTimeout       = 30 * time.Second
	DefaultTokenInterval = 73 * time.Millisecond
)

// Idempotent reports whether requests of an HTTP method may be retried on the
// route.
func (r Route) Idempotent(method string) bool {
	if r.IdempotentMethods == nil {
		return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	}
	for _, m := range r.IdempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}

// RetryBudget returns the number of retries that the route may make, as a share of
// its first attempts.
func (r Route) RetryBudget() float64 {
	if r.Budget == 0 {
		return DefaultBudget
	}
	return r.Budget
}
