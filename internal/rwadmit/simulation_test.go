package rwadmit_test

import (
	"fmt"
	"testing"
	"time"

	"ragwortwall/internal/rwadmit"

	"github.com/stretchr/testify/require"
)

// TestUrgentStreamsKeepTheirService plays a burst that is more than the servers bear, with news of
// different age at fleets of different size.
func TestUrgentStreamsKeepTheirService(t *testing.T) {
	for instances, staleness := range map[int]time.Duration{6: time.Second, 70: 200 * time.Millisecond, 390: 200 * time.Millisecond} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			s := rwadmit.Simulation{Instances: instances, Staleness: staleness, Seed: 7}
			ordered := s.Run()
			s.Unordered = true
			before := s.Run()
			for route, name := range []string{"urgent", "other"} {
				t.Logf("%s, %s: before %+v, now %+v", t.Name(), name, before[route], ordered[route])
			}
			require.GreaterOrEqual(t, ordered[0].Share(), 0.85)
			require.Greater(t, ordered[0].Share(), before[0].Share())
			whole := float64(ordered[0].OnTime+ordered[1].OnTime) / float64(ordered[0].Asked+ordered[1].Asked)
			require.Greater(t, ordered[1].Share(), whole/4)
		})
	}
}
