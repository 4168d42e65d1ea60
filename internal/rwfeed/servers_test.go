package rwfeed_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwfeed"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

const foreignSpec = "7" // of an entry that can't be decoded

// newServerList returns the list of a store that has just recovered from an outage, and its
// directory.
func newServerList() (*rwfeed.ServerList, *rwbackend.Directory) {
	d := rwbackend.NewDirectory("self")
	recoveredAt := time.Now()
	return &rwfeed.ServerList{
		Directory: d, StoreRecoveredAt: func() time.Time { return recoveredAt }, Log: logr.Discard(),
		Age: func() (time.Duration, bool) { return 0, true },
		Decode: func(name string, spec json.RawMessage) (rwbackend.Entry, error) {
			if string(spec) == foreignSpec {
				return rwbackend.Entry{}, errors.New("not an entry")
			}
			return rwbackend.Entry{ID: name, Service: "m", Address: name, Incarnation: 1}, nil
		},
	}, d
}

// TestForeignEntryAfterOutage guards against a server that is used on after an outage of the store,
// although its entry was replaced by one that names no server: such an entry has not expired.
func TestForeignEntryAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newServerList()
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{change("a", 1), change("b", 1), change("c", 1)}})
		foreign := change("a", 2)
		foreign.Spec = json.RawMessage(foreignSpec)
		s.Apply(rwfeed.Batch{Changes: []rwfeed.Change{foreign}})
		require.ElementsMatch(t, []string{"b", "c"}, d.IDs())
	})
}
