package rwserve

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"ragwortwall/internal/rwmove"
	"ragwortwall/internal/rwstandin"
	"ragwortwall/internal/rwtree"

	"github.com/stretchr/testify/require"
)

var moving = fleetOptions{instances: 4, engines: 4, capacity: 8, versions: []string{"v1", "v2"}}

// operate calls the operators' interface of an instance.
func (f *fleet) operate(n int, method, path string, body, answer any) int {
	content, err := json.Marshal(body)
	require.NoError(f.t, err)
	request, err := http.NewRequest(method, "http://"+operatorsAddress(n)+path, bytes.NewReader(content))
	require.NoError(f.t, err)
	request.Header.Set(headerOperator, operatorKey)
	response, err := f.client.Do(request)
	require.NoError(f.t, err)
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	require.NoError(f.t, err)
	if answer != nil {
		require.NoError(f.t, json.Unmarshal(content, answer), string(content))
	}
	return response.StatusCode
}

// startMove begins a move of a minute and keeps traffic on the route until it
// has ended or the time is up. It returns the move and the answers by version.
func (f *fleet) startMove(length time.Duration, during func(at time.Duration)) (rwtree.Move, map[string]int) {
	start := rwmove.Start{Route: "team/m", To: "v2", Deadline: time.Now().Add(length)}
	require.Equal(f.t, http.StatusOK, f.operate(0, http.MethodPost, "/moves", start, nil))
	answers := map[string]int{}
	results := make(chan got, 10000)
	sent := 0
	for at := time.Duration(0); at < length+length/5; at += 100 * time.Millisecond {
		if during != nil {
			during(at)
		}
		n := sent
		go func() { results <- f.whole(1+n%3, ask{prompt: prompt(n), tokens: 30, key: fmt.Sprint(n)}) }()
		sent++
		time.Sleep(100 * time.Millisecond)
		if move, ok := f.instances[3].settings.Tree().Move("team/m"); ok && move.Ended() {
			break
		}
	}
	for range sent {
		g := <-results
		requireWhole(f.t, ask{prompt: g.prompt, tokens: 30}, g)
		answers[g.version]++
	}
	move, ok := f.instances[3].settings.Tree().Move("team/m")
	require.True(f.t, ok)
	return move, answers
}

// bad makes version v2 bad at all engines.
func (f *fleet) bad(fault rwstandin.VersionFault) {
	for _, e := range f.engines {
		e.SetFaults(rwstandin.EngineFaults{Versions: map[string]rwstandin.VersionFault{"v2": fault}})
	}
}

func TestMoveGood(t *testing.T) {
	withFleet(t, moving, func(f *fleet) {
		move, answers := f.startMove(time.Minute, nil)
		require.Equal(t, rwtree.PhaseDone, move.Phase, move.Reason)
		require.False(t, time.Now().After(move.Deadline.Add(2*time.Second)))
		require.Greater(t, answers["v2"], answers["v1"]/4)
		time.Sleep(time.Second)
		for _, i := range f.instances {
			route, _ := i.settings.Tree().Route("team/m")
			require.Equal(t, "v2", route.Version)
		}
	})
}

func TestMoveBad(t *testing.T) {
	for name, c := range map[string]struct {
		fault  rwstandin.VersionFault
		during func(f *fleet, at time.Duration)
	}{
		"fails":                     {rwstandin.VersionFault{Fail: 1}, nil},
		"slow":                      {rwstandin.VersionFault{Slow: 2}, nil},
		"fails while store is down": {rwstandin.VersionFault{Fail: 1}, storeDownFor},
		"fails as the decider dies": {rwstandin.VersionFault{Fail: 1}, killDecider},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, moving, func(f *fleet) {
				f.bad(c.fault)
				move, answers := f.startMove(time.Minute, func(at time.Duration) {
					if c.during != nil {
						c.during(f, at)
					}
				})
				require.Equal(t, rwtree.PhaseTakenBack, move.Phase, move.Reason)
				require.Zero(t, move.Share)
				if c.fault.Fail == 1 {
					require.Zero(t, answers["v2"])
				}
			})
		})
	}
}

// storeDownFor takes the platform away once the canary has begun, for 20 s.
func storeDownFor(f *fleet, at time.Duration) {
	if at == 2*time.Second {
		f.platform.SetFaults(outage)
	}
	if at == 22*time.Second {
		f.platform.SetFaults(rwstandin.PlatformFaults{})
	}
}

// killDecider kills whichever instance decides, once the canary has begun.
func killDecider(f *fleet, at time.Duration) {
	if at != 2*time.Second {
		return
	}
	for n, i := range f.instances {
		if i.decider.Holds() && n != 3 {
			f.kill(n)
		}
	}
}

// TestMoveContained gives a failing version half of the traffic and takes the
// store away, so that only the instances' own containment can help.
func TestMoveContained(t *testing.T) {
	withFleet(t, moving, func(f *fleet) {
		f.bad(rwstandin.VersionFault{Fail: 1})
		now := time.Now().UTC()
		move := rwtree.Move{
			Route: "team/m", From: "v1", To: "v2", Begun: now, Deadline: now.Add(time.Hour),
			Phase: rwtree.PhaseSoaking, Share: 0.5,
		}
		body, err := json.Marshal(move)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, f.operate(0, http.MethodPut, "/settings/move.team.m", Subtree{Spec: body}, nil))
		f.platform.SetFaults(outage)
		send := func(from, to int) (met float64) {
			for n := from; n < to; n++ {
				a := ask{prompt: prompt(n), tokens: 10}
				requireWhole(t, a, f.complete(n%4, a))
			}
			for _, i := range f.instances {
				status := i.mover.Status()
				require.Len(t, status, 1)
				met = max(met, status[0].After.Runs)
			}
			return met
		}
		evidence := send(0, 60)
		require.Positive(t, evidence)
		time.Sleep(2 * time.Second) // the bound from evidence to containment everywhere
		for _, i := range f.instances {
			require.NotEmpty(t, i.mover.Status()[0].Contained, i.Config.Name)
		}
		before := send(60, 61)
		require.InDelta(t, before, send(61, 161), 0, "no request meets the contained version")
	})
}

func TestSettingsChange(t *testing.T) {
	withFleet(t, small, func(f *fleet) {
		f.team.Organisations["third"] = rwtree.Organisation{Keys: []string{rwtree.HashKey("third")}}
		body, err := json.Marshal(f.team)
		require.NoError(t, err)
		started := time.Now()
		require.Equal(t, http.StatusOK, f.operate(0, http.MethodPut, "/settings/team", Subtree{Generation: 1, Spec: body}, nil))
		var all []InForce
		f.operate(2, http.MethodGet, "/status", nil, &all)
		require.Len(t, all, len(f.instances))
		for _, s := range all {
			require.EqualValues(t, 2, s.Generations["team"], s.Instance)
		}
		require.Less(t, time.Since(started), 3*time.Second)
		t.Run("a racing operator gets the current value", func(t *testing.T) {
			var answer struct {
				Error struct{ Code, Message, Remedy string }
			}
			status := f.operate(1, http.MethodPut, "/settings/team", Subtree{Generation: 1, Spec: body}, &answer)
			require.Equal(t, http.StatusConflict, status)
			require.Contains(t, answer.Error.Message, "generation 2")
			require.NotEmpty(t, answer.Error.Remedy)
		})
		t.Run("a wrong field is refused with its path", func(t *testing.T) {
			var answer struct{ Error struct{ Message string } }
			status := f.operate(1, http.MethodPut, "/settings/team", Subtree{Generation: 2, Spec: []byte(`{"serverz":{}}`)}, &answer)
			require.Equal(t, http.StatusBadRequest, status)
			require.Contains(t, answer.Error.Message, "$.serverz")
		})
		t.Run("a rollback is a new generation", func(t *testing.T) {
			var s Subtree
			require.Equal(t, http.StatusOK, f.operate(1, http.MethodPost, "/settings/team/rollback/1", nil, &s))
			require.EqualValues(t, 3, s.Generation)
		})
	})
}

// TestSettingsNeverRevert serves stale lists, restarts instances and takes the
// platform away; no instance may ever go back.
func TestSettingsNeverRevert(t *testing.T) {
	withFleet(t, small, func(f *fleet) {
		seen := map[string]int64{}
		watch := func() {
			for _, i := range f.instances {
				now := i.settings.Tree().Generation("team")
				require.GreaterOrEqual(t, now, seen[i.Config.Name])
				seen[i.Config.Name] = now
			}
		}
		body, err := json.Marshal(f.team)
		require.NoError(t, err)
		for round := range 6 {
			f.platform.SetFaults(rwstandin.PlatformFaults{Stale: round%2 == 0})
			spec := bytes.Replace(body, []byte(`"capacity":4`), fmt.Appendf(nil, `"capacity":%d`, 5+round), 1)
			status := f.operate(round%3, http.MethodPut, "/settings/team", Subtree{Generation: int64(round + 1), Spec: spec}, nil)
			require.Equal(t, http.StatusOK, status)
			watch()
			if round == 3 {
				f.platform.SetFaults(outage)
				f.kill(3)
				f.restart(3)
				delete(seen, instanceName(3))
				time.Sleep(5 * time.Second)
				require.EqualValues(t, round+2, f.instances[3].settings.Tree().Generation("team"), "an instance that starts in an outage has its peers' settings")
				f.platform.SetFaults(rwstandin.PlatformFaults{})
			}
			for range 20 {
				time.Sleep(2 * time.Second)
				watch()
			}
		}
	})
}
