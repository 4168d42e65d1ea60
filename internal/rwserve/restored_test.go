package rwserve

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwtree"

	"github.com/stretchr/testify/require"
)

// putTeam replaces the team's settings at the n-th instance with ones in which each engine
// has the given capacity. It returns the status and the new generation.
func (f *fleet) putTeam(n int, generation int64, capacity string) (int, int64) {
	var written Subtree
	status := f.callOperators(n, http.MethodPut, "/settings/team", Subtree{Generation: generation, Spec: f.teamSpec(capacity)}, &written)
	return status, written.Generation
}

// teamSpec returns the team's settings with engines of the given capacity.
func (f *fleet) teamSpec(capacity string) json.RawMessage {
	body, err := json.Marshal(f.team)
	require.NoError(f.t, err)
	return bytes.ReplaceAll(body, []byte(`"capacity":4`), []byte(`"capacity":`+capacity))
}

// requireInForce checks that a subtree has a generation and text at every instance, and
// that a reader of the platform finds the same.
func (f *fleet) requireInForce(name string, generation int64, text string) {
	f.t.Helper()
	for _, i := range f.instances {
		o, ok := i.settings.Tree().Object(name)
		require.True(f.t, ok, i.Config.Name)
		require.Equal(f.t, generation, o.Generation(), i.Config.Name)
		require.Contains(f.t, string(o.Spec), text, i.Config.Name)
		require.Equal(f.t, f.instances[0].settings.Tree().Digest(), i.settings.Tree().Digest(), i.Config.Name)
	}
	stored, err := f.instances[0].platform.Get(f.t.Context(), rwobject.KindSettings, name)
	require.NoError(f.t, err)
	require.Equal(f.t, generation, stored.Generation())
	require.Contains(f.t, string(stored.Spec), text)
}

// TestSettingsRestored guards against acknowledged settings that are lost, revert or stop
// changes for good when the platform comes back from an older copy of its contents and
// gives out their generations again.
func TestSettingsRestored(t *testing.T) {
	for name, c := range map[string]struct {
		bypassing  []string       // capacities that another writer sets in the copy before the instances see it
		between    func(f *fleet) // while the platform has the older copy
		generation int64          // in force in the end
		text       string
	}{
		"lost changes are written again": {nil, func(*fleet) {}, 3, `"capacity":6`},
		"the next change counts on": {nil, func(f *fleet) {
			status, generation := f.putTeam(1, 3, "7")
			require.Equal(f.t, http.StatusOK, status)
			require.EqualValues(f.t, 4, generation)
		}, 4, `"capacity":7`},
		"a change of the older copy is refused": {nil, func(f *fleet) {
			status, _ := f.putTeam(1, 1, "7")
			require.Equal(f.t, http.StatusConflict, status)
		}, 3, `"capacity":6`},
		"changes that bypassed the instances": {[]string{"8", "9"}, func(f *fleet) {
			status, generation := f.putTeam(2, 3, "7")
			require.Equal(f.t, http.StatusOK, status)
			require.EqualValues(f.t, 4, generation)
		}, 4, `"capacity":7`},
		"an instance starts": {nil, func(f *fleet) {
			f.kill(2)
			f.restart(2)
		}, 3, `"capacity":6`},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, smallFleet, func(f *fleet) {
				f.platform.Copy()
				for n, capacity := range []string{"5", "6"} {
					status, _ := f.putTeam(n, int64(n+1), capacity)
					require.Equal(t, http.StatusOK, status)
				}
				var replacements []rwobject.Object
				for _, capacity := range c.bypassing {
					o := rwobject.New(rwobject.KindSettings, "team", nil)
					o.Spec = f.teamSpec(capacity)
					replacements = append(replacements, o)
				}
				for n, stored := range f.platform.Restore(replacements...) {
					require.EqualValues(t, n+2, stored.Metadata.Generation, "the copy has generation 1")
				}
				c.between(f)
				time.Sleep(10 * time.Second)
				f.requireInForce("team", c.generation, c.text)
				restored := int64(0)
				for _, i := range f.instances {
					restored += i.settings.Restored()
				}
				require.LessOrEqual(t, restored, int64(1), "one instance writes it again, unless a change did")
			})
		})
	}
}

// TestNewSettingsRestored guards against a subtree that the platform's older copy doesn't
// have yet and that only the instances still know.
func TestNewSettingsRestored(t *testing.T) {
	withFleet(t, smallFleet, func(f *fleet) {
		f.platform.Copy()
		body, err := json.Marshal(rwtree.Team{Organisations: map[string]rwtree.Organisation{"new": {Keys: []string{rwtree.HashKey("new")}}}})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, f.callOperators(0, http.MethodPut, "/settings/second", Subtree{Spec: body}, nil))
		f.platform.Restore()
		time.Sleep(10 * time.Second)
		f.requireInForce("second", 1, `"new"`)
	})
}

// TestOrderRestored guards against an order that runs twice because the platform came back
// from a copy that was made before its record.
func TestOrderRestored(t *testing.T) {
	withFleet(t, smallFleet, func(f *fleet) {
		require.Equal(t, http.StatusCreated, f.placeOrder(0, "before", "plan").status)
		f.platform.Copy()
		results := map[string]orderResult{}
		for n := range 12 {
			key := fmt.Sprintf("k%d", n)
			results[key] = f.placeOrder(n%len(f.instances), key, "plan")
			require.Equal(t, http.StatusCreated, results[key].status)
		}
		f.platform.Restore()
		for n := range 12 {
			require.Equal(t, http.StatusCreated, f.placeOrder(n%len(f.instances), fmt.Sprintf("next%d", n), "plan").status)
		}
		for n := range 12 {
			key := fmt.Sprintf("k%d", n)
			repeat := f.placeOrder((n+1)%len(f.instances), key, "plan")
			require.True(t, repeat.replayed, "%+v", repeat)
		}
		f.requireReportedOutcomes(results)
		lost := int64(0)
		for _, i := range f.instances {
			lost += i.ledger.local.LostRecords()
		}
		require.EqualValues(t, 12, lost)
	})
}
