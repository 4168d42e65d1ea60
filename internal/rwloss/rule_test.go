package rwloss

import (
	"testing"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
)

const testExpiry = 3600 * time.Millisecond

// TestJudge guards against losses that are laid to the path, or to the request, before anything
// tells which it was.
func TestJudge(t *testing.T) {
	const later = testExpiry + removalDelay
	for name, c := range map[string]struct {
		signs Signs
		want  Verdict
	}{
		"nothing is known":                       {Signs{Age: time.Second, ListedAt: time.Second}, Open},
		"responds":                               {Signs{Fate: rwbackend.FateResponds}, Survived},
		"leaving":                                {Signs{Fate: rwbackend.FateLeaving}, Left},
		"replaced":                               {Signs{Fate: rwbackend.FateReplaced, Age: time.Second}, Ended},
		"replaced, as were others":               {Signs{Fate: rwbackend.FateReplaced, Neighbours: NeighboursEnded}, EndedWithOthers},
		"replaced, nothing is known of others":   {Signs{Fate: rwbackend.FateReplaced, Age: time.Second, Neighbours: NeighboursUnknown}, Open},
		"replaced, others are still listed":      {Signs{Fate: rwbackend.FateReplaced, Age: later, Neighbours: NeighboursUnknown}, Ended},
		"unlisted at once":                       {Signs{Fate: rwbackend.FateUnlisted, UnlistedAt: time.Second, Age: later}, Left},
		"unlisted after its silence":             {Signs{Fate: rwbackend.FateUnlisted, UnlistedAt: testExpiry, Age: testExpiry}, Ended},
		"unlisted after its silence with others": {Signs{Fate: rwbackend.FateUnlisted, UnlistedAt: testExpiry, Age: testExpiry, Neighbours: NeighboursEnded}, EndedWithOthers},
		"listed for longer than a silent one":    {Signs{Age: 2 * later, ListedAt: testExpiry + returnDelay + 1}, Survived},
		"the list is not confirmed":              {Signs{Age: 2 * later, ListedAt: time.Second}, Open},
		"the list is not confirmed for long":     {Signs{Age: maxOpenTime + 1, ListedAt: -time.Second}, Undecided},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, Rule{Expiry: testExpiry}.Judge(c.signs))
		})
	}
}

// TestJudgeWithoutExpiry checks that nothing is concluded from entries where a silent server's
// isn't removed.
func TestJudgeWithoutExpiry(t *testing.T) {
	require.Equal(t, Left, Rule{}.Judge(Signs{Fate: rwbackend.FateUnlisted, UnlistedAt: time.Minute}))
	require.Equal(t, Open, Rule{}.Judge(Signs{Age: maxOpenTime, ListedAt: maxOpenTime}))
}
