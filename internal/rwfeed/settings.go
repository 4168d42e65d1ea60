package rwfeed

import (
	"encoding/json"
	"sync/atomic"

	"ragwortwall/internal/rwroute"

	"github.com/go-logr/logr"
)

// Settings holds the routing table of the newest valid settings. It never goes back
// to an older position, and a new era of the store never to an older version. Set the
// exported fields before first use.
type Settings struct {
	Decode func(name string, spec json.RawMessage) (*rwroute.Table, error)
	Log    logr.Logger

	table    atomic.Pointer[rwroute.Table]
	position Position // of the settings in table
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
		switch {
		case !s.position.Before(c.Position()):
		case s.outdated(c.Position(), table):
			s.Log.Info("settings of the new era are older; keeping the current ones", "version", table.Version, "current", s.Table().Version, "era", c.Era, "revision", c.Revision)
		default:
			s.position = c.Position()
			s.table.Store(table)
			s.Log.Info("settings applied", "version", table.Version, "era", c.Era, "revision", c.Revision, "routes", table.RouteCount())
		}
	}
}

// Outdated reports whether settings of a new era can't replace the current ones: they are
// invalid, or of an older version, as the copy from which the store came back was older.
// The operator will write the current ones again.
func (s *Settings) Outdated(c Change) bool {
	table, err := s.Decode(c.Name, c.Spec)
	return !c.Deleted && (err != nil || s.outdated(c.Position(), table))
}

func (s *Settings) outdated(position Position, table *rwroute.Table) bool {
	current := s.Table()
	return current != nil && position.Era > s.position.Era && table.Version < current.Version
}

// Table returns the current routing table, or nil if none was received yet.
func (s *Settings) Table() *rwroute.Table { return s.table.Load() }
