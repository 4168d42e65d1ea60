package rwretry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBudget: over any long time retries stay within their share of first tries.
func TestBudget(t *testing.T) {
	var b Budget
	retries := 0
	const tries = 10000
	for range tries {
		b.First("r", 0.1)
		for b.Spend("r") {
			retries++
		}
	}
	require.LessOrEqual(t, retries, tries/10+budgetBurst)
	require.GreaterOrEqual(t, retries, tries/10-budgetBurst)
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Refusals
		request := Request{Organisation: "o", Fingerprint: 1}
		r.Note(request, 2*time.Second)
		wait, count := r.Early(request)
		require.Equal(t, 2*time.Second, wait)
		require.Equal(t, 1, count)
		time.Sleep(2 * time.Second)
		wait, count = r.Early(request)
		require.Zero(t, wait, "it comes in time")
		require.Equal(t, 1, count, "but it is a repeat")
		r.Forget(request)
		_, count = r.Early(request)
		require.Zero(t, count)
	})
}
