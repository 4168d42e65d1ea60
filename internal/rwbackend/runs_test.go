package rwbackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
)

// TestRunToResume guards against a stream that goes on from the memory of a run of another
// request: only a run of the same content may be resumed, and none while it is unsure which
// of several generations of that content the caller has events of.
func TestRunToResume(t *testing.T) {
	run := func(id, generation string) rwbackend.Run {
		return rwbackend.Run{ID: id, Owner: "peer", Server: "s0", Copy: "s1", Part: "session", Request: "question", Generation: generation, Prompt: 100, Started: true}
	}
	ended := func(r rwbackend.Run, lost bool) rwbackend.Run {
		r.Ended, r.Lost = true, lost
		return r
	}
	notStarted := func(r rwbackend.Run) rwbackend.Run {
		r.Started = false
		return r
	}
	other := run("other", "b")
	other.Request = "other question"
	formerBuild := run("former", "")
	formerBuild.Request = ""
	ownerStopped := func(d *rwbackend.Directory) { d.EndRunsOf("peer") }
	for name, c := range map[string]struct {
		runs        []rwbackend.Run // in the order in which they are reported
		then        func(d *rwbackend.Directory)
		wait        time.Duration
		want        string // id of the run; empty for none
		generations int
	}{
		"running":                                    {runs: []rwbackend.Run{run("r1", "a")}, want: "r1", generations: 1},
		"lost with its instance":                     {runs: []rwbackend.Run{run("r1", "a")}, then: ownerStopped, want: "r1", generations: 1},
		"lost with its instance, start not told":     {runs: []rwbackend.Run{notStarted(run("r1", "a"))}, then: ownerStopped, want: "r1", generations: 1},
		"complete":                                   {runs: []rwbackend.Run{ended(run("r1", "a"), false)}, generations: 1},
		"a later question of the session":            {runs: []rwbackend.Run{run("r1", "a"), other}, want: "r1", generations: 1},
		"a later question was lost and is put again": {runs: []rwbackend.Run{other, run("r1", "a"), ended(other, true)}, want: "r1", generations: 1},
		"only another question is known":             {runs: []rwbackend.Run{other}},
		"only a run of a former build is known":      {runs: []rwbackend.Run{formerBuild}},
		"resumed once":                               {runs: []rwbackend.Run{run("r1", "a"), ended(run("r1", "a"), true), run("r2", "a")}, want: "r2", generations: 1},
		"resumed, the former run is put again":       {runs: []rwbackend.Run{run("r1", "a"), run("r2", "a"), ended(run("r1", "a"), true)}, want: "r2", generations: 1},
		"resumed, refused by the server":             {runs: []rwbackend.Run{ended(run("r1", "a"), true), notStarted(ended(run("r2", "a"), false))}, want: "r1", generations: 1},
		"begun anew after an attempt without events": {runs: []rwbackend.Run{notStarted(ended(run("r1", "a"), true)), run("r2", "b")}, want: "r2", generations: 1},
		"same content twice":                         {runs: []rwbackend.Run{run("r1", "a"), run("r2", "b")}, generations: 2},
		"same content twice, lost":                   {runs: []rwbackend.Run{run("r1", "a"), run("r2", "b")}, then: ownerStopped, generations: 2},
		"same content twice, one is complete":        {runs: []rwbackend.Run{run("r1", "a"), ended(run("r2", "b"), false)}, generations: 2},
		"same content twice, one runs for minutes":   {runs: []rwbackend.Run{run("r1", "a")}, wait: 2 * time.Minute, then: func(d *rwbackend.Directory) { d.PutRun(run("r2", "b")) }, generations: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := directory("a", "b")
				for _, r := range c.runs {
					d.PutRun(r)
					time.Sleep(time.Millisecond)
				}
				time.Sleep(c.wait)
				if c.then != nil {
					c.then(d)
				}
				got, generations, ok := d.RunToResume("question")
				require.Equal(t, c.want, got.ID)
				require.Equal(t, c.want != "", ok)
				require.Equal(t, c.generations, generations)
			})
		})
	}
	t.Run("runs are forgotten", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := directory("a", "b")
			d.PutRun(run("r1", "a"))
			time.Sleep(time.Hour)
			for range 20 {
				d.PutRun(other)
			}
			_, generations, _ := d.RunToResume("question")
			require.Zero(t, generations)
		})
	})
}
