package rwretry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBudget checks that over many requests the number of retries stays within the
// ratio of the budget, apart from one burst.
func TestBudget(t *testing.T) {
	var b Budget
	retries := 0
	const requests = 10000
	for range requests {
		b.Deposit("r", 0.1)
		for b.Spend("r") {
			retries++
		}
	}
	require.LessOrEqual(t, retries, requests/10+defaultCapacity)
	require.GreaterOrEqual(t, retries, requests/10-defaultCapacity)
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Refusals
		request := Request{Organisation: "o", Fingerprint: 1}
		r.Record(request, 2*time.Second)
		wait, count := r.RemainingWait(request)
		require.Equal(t, 2*time.Second, wait)
		require.Equal(t, 1, count)
		time.Sleep(2 * time.Second)
		wait, count = r.RemainingWait(request)
		require.Zero(t, wait, "the wait time has passed")
		require.Equal(t, 1, count, "the refusal is still counted")
		r.Forget(request)
		_, count = r.RemainingWait(request)
		require.Zero(t, count)
	})
}
