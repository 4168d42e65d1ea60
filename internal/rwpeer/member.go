package rwpeer

import (
	"sync"

	"ragwortwall/internal/rwfeed"

	"github.com/go-logr/logr"
)

// Member is an instance as the store lists it.
type Member struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Instances string `json:"instances,omitempty"` // address for calls of other instances
	Notices   string `json:"notices"`             // address for datagrams
}

// Members are the other instances.
type Members struct {
	Self string
	Log  logr.Logger

	mu    sync.Mutex
	known map[string]Member
}

// Apply takes in changes of the list.
func (m *Members) Apply(b rwfeed.Batch[Member]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known == nil || b.Whole {
		m.known = map[string]Member{}
	}
	for _, c := range b.Changes {
		switch {
		case c.Gone || c.Bad != nil:
			delete(m.known, c.Name)
		case c.Name != m.Self:
			m.known[c.Name] = c.Value
		}
	}
	m.Log.Info("instances known", "count", len(m.known), "revision", b.Revision)
}

// Others returns the other instances.
func (m *Members) Others() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]Member, 0, len(m.known))
	for _, member := range m.known {
		others = append(others, member)
	}
	return others
}

// Count is the number of instances, this one counted.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}
