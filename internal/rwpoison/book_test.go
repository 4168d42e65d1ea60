package rwpoison

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBook(t *testing.T) {
	for name, c := range map[string]struct {
		record      func(b *Registry)
		suspect     bool
		quarantined bool
	}{
		"one crash":                   {func(b *Registry) { b.Implicate(1, "a", false) }, true, false},
		"same server twice":           {func(b *Registry) { b.Implicate(1, "a", false); b.Implicate(1, "a", true) }, true, false},
		"two servers, isolated":       {func(b *Registry) { b.Implicate(1, "a", false); b.Implicate(1, "b", true) }, true, true},
		"two servers, not isolated":   {func(b *Registry) { b.Implicate(1, "a", false); b.Implicate(1, "b", false) }, true, false},
		"cleared":                     {func(b *Registry) { b.Implicate(1, "a", false); b.Clear(1) }, false, false},
		"cleared, then another crash": {func(b *Registry) { b.Implicate(1, "a", false); b.Clear(1); b.Implicate(1, "b", false) }, true, false},
		"cleared after quarantine":    {func(b *Registry) { b.Implicate(1, "a", false); b.Implicate(1, "b", true); b.Clear(1) }, false, true},
		"received from a peer":        {func(b *Registry) { b.Merge(Suspicion{Fingerprint: 1, Servers: []string{"a", "b"}, Quarantined: true}) }, true, true},
		"cleared by a peer": {func(b *Registry) {
			b.Implicate(1, "a", false)
			b.Merge(Suspicion{Fingerprint: 1, Servers: []string{"a"}, Cleared: true})
		}, false, false},
		"cleared by a peer that knows fewer crashes": {func(b *Registry) {
			b.Implicate(1, "a", false)
			b.Implicate(1, "b", false)
			b.Merge(Suspicion{Fingerprint: 1, Servers: []string{"a"}, Cleared: true})
		}, true, false},
		"another request is quarantined": {func(b *Registry) { b.Implicate(2, "a", false); b.Implicate(2, "b", true) }, false, false},
		"quarantine expired": {func(b *Registry) {
			b.Implicate(1, "a", false)
			b.Implicate(1, "b", true)
			time.Sleep(QuarantineLife + 1)
		}, false, false},
		"suspicion expired": {func(b *Registry) { b.Implicate(1, "a", false); time.Sleep(suspicionTTL + 1) }, false, false},
		"quarantine about to expire": {func(b *Registry) {
			b.Implicate(1, "a", false)
			b.Implicate(1, "b", true)
			time.Sleep(QuarantineLife - 1)
		}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b Registry
				c.record(&b)
				require.Equal(t, c.quarantined, b.QuarantineError(1) != nil)
				if !c.quarantined {
					require.Equal(t, c.suspect, b.Suspect(1))
				}
			})
		})
	}
}
