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
