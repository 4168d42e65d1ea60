package rwbackend_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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
	t.Run("one runs for minutes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := directory("a", "b")
			d.PutRun(run("r1"))
			time.Sleep(2 * time.Minute)
			latest, ok := d.LatestRun("session")
			require.True(t, ok)
			require.Equal(t, "r1", latest.ID)
			d.PutRun(run("r2"))
			latest, ok = d.LatestRun("session")
			require.True(t, ok)
			require.Equal(t, "r2", latest.ID)
		})
	})
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

// runsAt returns how many active runs each server has.
func runsAt(d *rwbackend.Directory) map[string]int {
	runs := map[string]int{}
	for _, v := range d.All() {
		if v.Runs > 0 {
			runs[v.ID] = v.Runs
		}
	}
	return runs
}

// TestRefusedRunIsKnown guards against a run that is forgotten for as long as it lasts because the
// first server refused it: the news that it ended there was taken for its end.
func TestRefusedRunIsKnown(t *testing.T) {
	placed := rwbackend.Run{ID: "r", Owner: "peer", Server: "s0", Part: "session", Request: "question", Prompt: 100, Revision: 1}
	refused := placed
	refused.Ended, refused.Revision = true, 2
	again := placed
	again.Server, again.Started, again.Revision = "s1", true, 3
	ended := again
	ended.Ended, ended.Revision = true, 4
	d := directory("a", "b")
	for n, c := range []struct {
		news rwbackend.Run
		want map[string]int
	}{
		{placed, map[string]int{"s0": 1}},
		{refused, map[string]int{}},
		{again, map[string]int{"s1": 1}},
		{refused, map[string]int{"s1": 1}},
		{ended, map[string]int{}},
		{again, map[string]int{}},
	} {
		d.PutRun(c.news)
		require.Equal(t, c.want, runsAt(d), "after news %d", n)
		latest, ok := d.LatestRun("session")
		require.True(t, ok)
		require.Equal(t, n >= 2, latest.Server == "s1")
	}
}

// TestNewsOfRuns checks that news of runs which come in any order, several times or not at all lead
// to the state that the latest of them tells, and that nobody but a run's owner has news of it.
func TestNewsOfRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers, owners, ids = 3, 2, 2
		var news []rwbackend.Run
		latest := map[[2]string]rwbackend.Run{}
		for owner := range owners {
			for id := range ids { // instances may have runs of the same id
				server := 0
				for revision := range rapid.IntRange(1, 6).Draw(t, "news") {
					r := rwbackend.Run{ID: fmt.Sprint("r", id), Owner: fmt.Sprint("peer", owner), Prompt: 100, Revision: revision + 1}
					r.Ended = rapid.Bool().Draw(t, "ended")
					r.Started = rapid.Bool().Draw(t, "started")
					r.Server = fmt.Sprint("s", server)
					if r.Ended {
						server = rapid.IntRange(0, servers-1).Draw(t, "next server")
					}
					news = append(news, r)
				}
			}
		}
		var arrived []rwbackend.Run
		for _, r := range news {
			arrived = append(arrived, slices.Repeat([]rwbackend.Run{r}, rapid.IntRange(0, 2).Draw(t, "copies"))...)
		}
		d := directory("a", "b", "c")
		for _, r := range rapid.Permutation(arrived).Draw(t, "order") {
			d.PutRun(r)
			key := [2]string{r.Owner, r.ID}
			if r.Revision > latest[key].Revision {
				latest[key] = r
			}
		}
		want := map[string]int{}
		for _, r := range latest {
			if !r.Ended {
				want[r.Server]++
			}
		}
		require.Equal(t, want, runsAt(d))
	})
}
