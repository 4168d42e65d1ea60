package rwpoison

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRegistry(t *testing.T) {
	for name, c := range map[string]struct {
		record      func(r *Registry)
		suspect     bool
		quarantined bool
	}{
		"one crash":                   {func(r *Registry) { r.Implicate(1, "a", false) }, true, false},
		"same server twice":           {func(r *Registry) { r.Implicate(1, "a", false); r.Implicate(1, "a", true) }, true, false},
		"two servers, isolated":       {func(r *Registry) { r.Implicate(1, "a", false); r.Implicate(1, "b", true) }, true, true},
		"two servers, not isolated":   {func(r *Registry) { r.Implicate(1, "a", false); r.Implicate(1, "b", false) }, true, false},
		"cleared":                     {func(r *Registry) { r.Implicate(1, "a", false); r.Clear(1) }, false, false},
		"cleared, then another crash": {func(r *Registry) { r.Implicate(1, "a", false); r.Clear(1); r.Implicate(1, "b", false) }, true, false},
		"cleared after quarantine":    {func(r *Registry) { r.Implicate(1, "a", false); r.Implicate(1, "b", true); r.Clear(1) }, false, true},
		"received from a peer":        {func(r *Registry) { r.Merge(Suspicion{Fingerprint: 1, Servers: []string{"a", "b"}, Quarantined: true}) }, true, true},
		"cleared by a peer": {func(r *Registry) {
			r.Implicate(1, "a", false)
			r.Merge(Suspicion{Fingerprint: 1, Servers: []string{"a"}, Cleared: true})
		}, false, false},
		"cleared by a peer that knows fewer crashes": {func(r *Registry) {
			r.Implicate(1, "a", false)
			r.Implicate(1, "b", false)
			r.Merge(Suspicion{Fingerprint: 1, Servers: []string{"a"}, Cleared: true})
		}, true, false},
		"another request is quarantined": {func(r *Registry) { r.Implicate(2, "a", false); r.Implicate(2, "b", true) }, false, false},
		"quarantine expired": {func(r *Registry) {
			r.Implicate(1, "a", false)
			r.Implicate(1, "b", true)
			time.Sleep(QuarantineLife + 1)
		}, false, false},
		"suspicion expired": {func(r *Registry) { r.Implicate(1, "a", false); time.Sleep(suspicionTTL + 1) }, false, false},
		"quarantine about to expire": {func(r *Registry) {
			r.Implicate(1, "a", false)
			r.Implicate(1, "b", true)
			time.Sleep(QuarantineLife - 1)
		}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Registry
				c.record(&r)
				require.Equal(t, c.quarantined, r.QuarantineError(1) != nil)
				if !c.quarantined {
					require.Equal(t, c.suspect, r.Suspect(1))
				}
			})
		})
	}
}

// TestLossesBounded guards against requests that are sent on without end because the
// causes of the losses under them can't be told.
func TestLossesBounded(t *testing.T) {
	lose := func(r *Registry, servers ...string) {
		for _, server := range servers {
			r.RecordLoss(1, server)
		}
	}
	five := []string{"a", "b", "c", "d", "e"}
	for name, c := range map[string]struct {
		record   func(r *Registry)
		rejected bool
	}{
		"four servers":             {func(r *Registry) { lose(r, "a", "b", "c", "d") }, false},
		"five servers":             {func(r *Registry) { lose(r, five...) }, true},
		"one loss, reported again": {func(r *Registry) { lose(r, "a", "a", "a", "a", "a") }, false},
		"completed in between":     {func(r *Registry) { lose(r, "a", "b", "c"); r.Complete(1); lose(r, "d", "e") }, false},
		"known from a peer": {func(r *Registry) {
			lose(r, "a", "b")
			r.Merge(Suspicion{Fingerprint: 1, Losses: []string{"b", "c", "d", "e"}})
		}, true},
		"completed at a peer":         {func(r *Registry) { lose(r, five...); r.Merge(Suspicion{Fingerprint: 1, Losses: five, Completed: true}) }, false},
		"completed before a loss":     {func(r *Registry) { lose(r, five...); r.Merge(Suspicion{Fingerprint: 1, Completed: true}) }, true},
		"expired":                     {func(r *Registry) { lose(r, five...); time.Sleep(suspicionTTL + 1) }, false},
		"quarantined, then completed": {func(r *Registry) { r.Implicate(1, "a", false); r.Implicate(1, "b", true); r.Complete(1) }, true},
		"released":                    {func(r *Registry) { lose(r, five...); r.Release(1) }, false},
		"one server that restarts under its name": {func(r *Registry) {
			for range five {
				lose(r, "a")
				time.Sleep(newLossAfter)
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Registry
				c.record(&r)
				require.Equal(t, c.rejected, r.QuarantineError(1) != nil)
				require.Equal(t, c.rejected, len(r.Rejected()) == 1)
			})
		})
	}
}

// TestCrashesJudgedApart guards against a request that crashed enough servers to be
// quarantined, but each of them under the eyes of another instance at the same moment.
func TestCrashesJudgedApart(t *testing.T) {
	servers := []string{"a", "b", "c"}
	for name, c := range map[string]struct {
		threshold   int
		quarantined bool
	}{
		"threshold":                 {3, true},
		"threshold not reached":     {4, false},
		"only crashes in isolation": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var registries []*Registry
			var judged []Suspicion
			for _, server := range servers {
				r := &Registry{CrashThreshold: c.threshold}
				judged = append(judged, r.Implicate(1, server, false))
				registries = append(registries, r)
			}
			for _, r := range registries {
				for _, s := range judged {
					r.Merge(s)
				}
				require.Equal(t, c.quarantined, r.QuarantineError(1) != nil)
				require.Len(t, r.Get(1).Servers, len(servers))
			}
		})
	}
}

// TestNamesBounded guards against suspicions that grow with each server that a request
// crashes, until they no longer fit into a notice to the other instances.
func TestNamesBounded(t *testing.T) {
	var r Registry
	for n := range 50 {
		server := string(rune('a' + n))
		r.RecordLoss(1, server)
		r.Implicate(1, server, n >= 2)
		r.Merge(Suspicion{Fingerprint: 1, Servers: []string{server + "'"}, Losses: []string{server + "'"}})
	}
	s := r.Get(1)
	require.True(t, s.Quarantined)
	require.LessOrEqual(t, len(s.Servers), 6)
	require.Len(t, s.Losses, MaxLosses)
}
