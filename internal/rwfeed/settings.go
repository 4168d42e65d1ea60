package rwfeed

import (
	"encoding/json"
	"sync/atomic"

	"ragwortwall/internal/rwroute"

	"github.com/go-logr/logr"
)

// Settings holds the routing table of the newest valid settings. It never goes back
// to an older revision. Set the exported fields before first use.
type Settings struct {
	Decode func(name string, spec json.RawMessage) (*rwroute.Table, error)
	Log    logr.Logger

	table    atomic.Pointer[rwroute.Table]
	revision int64
}

// Apply decodes changed settings and stores their table. Deleted or invalid settings
// leave the current table in place.
func (s *Settings) Apply(b Batch) {
	for _, c := range b.Changes {
		if c.Deleted {
			s.Log.Info("settings deleted; keeping the current ones", "name", c.Name, "revision", c.Revision)
			continue
		}
		table, err := s.Decode(c.Name, c.Spec)
		if err != nil {
			s.Log.Error(err, "cannot decode settings; keeping the current ones", "name", c.Name, "revision", c.Revision)
			continue
		}
		if c.Revision > s.revision {
			s.revision = c.Revision
			s.table.Store(table)
			s.Log.Info("settings applied", "version", table.Version, "revision", c.Revision, "routes", table.RouteCount())
		}
	}
}

// Table returns the current routing table, or nil if none was received yet.
func (s *Settings) Table() *rwroute.Table { return s.table.Load() }
