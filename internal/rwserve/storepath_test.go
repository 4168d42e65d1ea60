package rwserve

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/internal/rwsettings"

	"github.com/stretchr/testify/require"
)

// settingsBound is the bound within which a change of the settings must be in force
// everywhere.
const settingsBound = 3 * time.Second

// watchesEnd is the time after which the watches have ended that all instances begin at
// their start.
const watchesEnd = time.Minute

// writeTeam changes the team's settings at the platform, not through an instance.
func (f *fleet) writeTeam(capacity string) {
	f.t.Helper()
	client := &rwplatform.Client{URL: "http://10.0.9.1:80", HTTP: f.client, Timeout: time.Second}
	o, err := client.Get(f.t.Context(), rwobject.KindSettings, "team")
	require.NoError(f.t, err)
	body, err := json.Marshal(f.team)
	require.NoError(f.t, err)
	o.Spec = bytes.ReplaceAll(body, []byte(`"capacity":4`), []byte(`"capacity":`+capacity))
	_, err = client.Update(f.t.Context(), o)
	require.NoError(f.t, err)
}

// instanceWithRole returns an instance that watches the settings, or one that doesn't.
func (f *fleet) instanceWithRole(watcher bool) int {
	f.t.Helper()
	n := slices.IndexFunc(f.instances, func(i *Instance) bool {
		return slices.Contains(i.view.Watchers(rwsettings.WatchersPerZone), i.Config.Name) == watcher
	})
	require.GreaterOrEqual(f.t, n, 0)
	return n
}

// TestSettingsWatchersCut guards against changes that no instance learns because all
// watchers have lost the platform, while another instance reaches it.
func TestSettingsWatchersCut(t *testing.T) {
	for name, watcher := range map[string]bool{"a watcher reaches it": true, "another instance reaches it": false} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, fleetOptions{instances: 9, engines: 1, capacity: 4}, func(f *fleet) {
				time.Sleep(watchesEnd)
				sound := f.instanceWithRole(watcher)
				for n, host := range f.hosts {
					f.network.Partition(host, "platform", n != sound)
				}
				time.Sleep(200 * time.Millisecond)
				f.writeTeam("5")
				time.Sleep(settingsBound)
				for _, i := range f.instances {
					o, _ := i.settings.Tree().Object("team")
					require.Contains(t, string(o.Spec), `"capacity":5`, i.Config.Name)
				}
			})
		})
	}
}
