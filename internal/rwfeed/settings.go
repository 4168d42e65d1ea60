package rwfeed

import (
	"sync/atomic"

	"ragwortwall/internal/rwroute"

	"github.com/go-logr/logr"
)

// Settings holds the desired state in force. It never goes back.
type Settings struct {
	Log logr.Logger

	table    atomic.Pointer[rwroute.Table]
	revision int64
}

// Apply takes in changes of the desired state, from one goroutine.
func (s *Settings) Apply(b Batch[*rwroute.Table]) {
	for _, c := range b.Changes {
		switch {
		case c.Bad != nil:
			s.Log.Error(c.Bad, "settings can't be used; the last good ones stay", "name", c.Name, "revision", c.Revision)
		case c.Gone:
			s.Log.Info("settings deleted; the last ones stay", "name", c.Name, "revision", c.Revision)
		case c.Revision > s.revision:
			s.revision = c.Revision
			s.table.Store(c.Value)
			s.Log.Info("settings in force", "version", c.Value.Version, "revision", c.Revision, "routes", c.Value.Routes())
		}
	}
}

// Table returns the desired state in force, or nil when none is known.
func (s *Settings) Table() *rwroute.Table { return s.table.Load() }
