package rwfeed

import (
	"encoding/json"
	"sync/atomic"

	"ragwortwall/internal/rwroute"

	"github.com/go-logr/logr"
)

// Settings holds the desired state in force. It never goes back. Set the exported
// fields before first use.
type Settings struct {
	Decode func(name string, spec json.RawMessage) (*rwroute.Table, error)
	Log    logr.Logger

	table    atomic.Pointer[rwroute.Table]
	revision int64
}

// Apply takes in changes of the desired state.
func (s *Settings) Apply(b Batch) {
	for _, c := range b.Changes {
		if c.Gone {
			s.Log.Info("settings deleted; the last ones stay", "name", c.Name, "revision", c.Revision)
			continue
		}
		table, err := s.Decode(c.Name, c.Spec)
		if err != nil {
			s.Log.Error(err, "settings can't be used; the last good ones stay", "name", c.Name, "revision", c.Revision)
			continue
		}
		if c.Revision > s.revision {
			s.revision = c.Revision
			s.table.Store(table)
			s.Log.Info("settings in force", "version", table.Version, "revision", c.Revision, "routes", table.Routes())
		}
	}
}

// Table returns the desired state in force, or nil when none is known.
func (s *Settings) Table() *rwroute.Table { return s.table.Load() }
