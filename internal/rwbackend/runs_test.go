package rwbackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
)

// TestLatestRun checks that the newest run of a prompt's last part is found, in whatever state it
// is, and that runs are forgotten.
func TestLatestRun(t *testing.T) {
	run := func(id string) rwbackend.Run {
		return rwbackend.Run{ID: id, Owner: "peer", Server: "s0", Copy: "s1", Part: "session", Request: "question", Prompt: 100, Started: true}
	}
	lost := run("r2")
	lost.Ended, lost.Lost = true, true
	for name, runs := range map[string][]rwbackend.Run{
		"running": {run("r1"), run("r2")},
		"lost":    {run("r1"), lost},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := directory("a", "b")
				for _, r := range runs {
					d.PutRun(r)
					time.Sleep(time.Millisecond)
				}
				latest, ok := d.LatestRun("session")
				require.True(t, ok)
				require.Equal(t, "r2", latest.ID)
				_, ok = d.LatestRun("")
				require.False(t, ok)
			})
		})
	}
	t.Run("runs are forgotten", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := directory("a", "b")
			d.PutRun(run("r1"))
			time.Sleep(time.Hour)
			other := run("other")
			other.Part, other.Request = "another session", "another question"
			for range 20 {
				d.PutRun(other)
			}
			_, ok := d.LatestRun("session")
			require.False(t, ok)
		})
	})
}
