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

var twoVersionFleet = fleetOptions{instances: 4, engines: 4, capacity: 8, versions: []string{"v1", "v2"}}

// callOperators sends a request to the operators' interface of the n-th instance. It
// parses the response into answer unless that is nil, and returns the status.
func (f *fleet) callOperators(n int, method, path string, body, answer any) int {
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

// startMove begins a version move with a deadline after length and sends requests to
// the route until the move has ended or a fifth more than length has passed. It returns
// the move and the number of answers by version.
func (f *fleet) startMove(length time.Duration, during func(at time.Duration)) (rwtree.Move, map[string]int) {
	start := rwmove.BeginRequest{Route: "team/m", To: "v2", Deadline: time.Now().Add(length)}
	require.Equal(f.t, http.StatusOK, f.callOperators(0, http.MethodPost, "/moves", start, nil))
	answers := map[string]int{}
	results := make(chan completionResult, 10000)
	sent := 0
	for at := time.Duration(0); at < length+length/5; at += 100 * time.Millisecond {
		if during != nil {
			during(at)
		}
		n := sent
		go func() {
			results <- f.completeWithReconnects(1+n%3, completionRequest{prompt: prompt(n), tokens: 30, key: fmt.Sprint(n)})
		}()
		sent++
		time.Sleep(100 * time.Millisecond)
		if move, ok := f.instances[3].settings.Tree().Move("team/m"); ok && move.Ended() {
			break
		}
	}
	for range sent {
		g := <-results
		requireComplete(f.t, completionRequest{prompt: g.prompt, tokens: 30}, g)
		answers[g.version]++
	}
	move, ok := f.instances[3].settings.Tree().Move("team/m")
	require.True(f.t, ok)
	return move, answers
}

// setV2Fault gives version v2 a fault on all engines.
func (f *fleet) setV2Fault(fault rwstandin.VersionFault) {
	for _, e := range f.engines {
		e.SetFaults(rwstandin.EngineFaults{Versions: map[string]rwstandin.VersionFault{"v2": fault}})
	}
}

func TestMoveGood(t *testing.T) {
	withFleet(t, twoVersionFleet, func(f *fleet) {
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
		"fails":                          {rwstandin.VersionFault{FailureRate: 1}, nil},
		"slow":                           {rwstandin.VersionFault{SlowdownFactor: 2}, nil},
		"fails during a platform outage": {rwstandin.VersionFault{FailureRate: 1}, failPlatform},
		"fails as the decider dies":      {rwstandin.VersionFault{FailureRate: 1}, killDecider},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, twoVersionFleet, func(f *fleet) {
				f.setV2Fault(c.fault)
				move, answers := f.startMove(time.Minute, func(at time.Duration) {
					if c.during != nil {
						c.during(f, at)
					}
				})
				require.Equal(t, rwtree.PhaseTakenBack, move.Phase, move.Reason)
				require.Zero(t, move.Share)
				if c.fault.FailureRate == 1 {
					require.Zero(t, answers["v2"])
				}
			})
		})
	}
}

// failPlatform makes the platform unavailable for 20 s once the canary has begun.
func failPlatform(f *fleet, at time.Duration) {
	if at == 2*time.Second {
		f.platform.SetFaults(platformOutage)
	}
	if at == 22*time.Second {
		f.platform.SetFaults(rwstandin.PlatformFaults{})
	}
}

// killDecider kills the instance that holds the decider role once the canary has begun,
// unless it is instance 3, from which startMove reads the move.
func killDecider(f *fleet, at time.Duration) {
	if at != 2*time.Second {
		return
	}
	for n, i := range f.instances {
		if i.decider.HoldsLease() && n != 3 {
			f.kill(n)
		}
	}
}

// TestMoveContained gives a failing version half of the traffic during a platform
// outage. The move can't be taken back then, so every instance must stop sending
// requests to the version on its own.
func TestMoveContained(t *testing.T) {
	withFleet(t, twoVersionFleet, func(f *fleet) {
		f.setV2Fault(rwstandin.VersionFault{FailureRate: 1})
		now := time.Now().UTC()
		move := rwtree.Move{
			Route: "team/m", From: "v1", To: "v2", StartedAt: now, Deadline: now.Add(time.Hour),
			Phase: rwtree.PhaseSoaking, Share: 0.5,
		}
		body, err := json.Marshal(move)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, f.callOperators(0, http.MethodPut, "/settings/move.team.m", Subtree{Spec: body}, nil))
		f.platform.SetFaults(platformOutage)
		send := func(from, to int) (runs float64) {
			for n := from; n < to; n++ {
				a := completionRequest{prompt: prompt(n), tokens: 10}
				requireComplete(t, a, f.complete(n%4, a))
			}
			for _, i := range f.instances {
				status := i.mover.Status()
				require.Len(t, status, 1)
				runs = max(runs, status[0].NewEvidence.Attempts)
			}
			return runs
		}
		evidence := send(0, 60)
		require.Positive(t, evidence)
		time.Sleep(2 * time.Second) // the longest time from evidence to containment on all instances
		for _, i := range f.instances {
			require.NotEmpty(t, i.mover.Status()[0].BadReason, i.Config.Name)
		}
		before := send(60, 61)
		require.InDelta(t, before, send(61, 161), 0, "the contained version got a request")
	})
}

func TestSettingsChange(t *testing.T) {
	withFleet(t, smallFleet, func(f *fleet) {
		f.team.Organisations["third"] = rwtree.Organisation{Keys: []string{rwtree.HashKey("third")}}
		body, err := json.Marshal(f.team)
		require.NoError(t, err)
		started := time.Now()
		require.Equal(t, http.StatusOK, f.callOperators(0, http.MethodPut, "/settings/team", Subtree{Generation: 1, Spec: body}, nil))
		var all []SettingsStatus
		f.callOperators(2, http.MethodGet, "/status", nil, &all)
		require.Len(t, all, len(f.instances))
		for _, s := range all {
			require.EqualValues(t, 2, s.Generations["team"], s.Instance)
		}
		require.Less(t, time.Since(started), 3*time.Second)
		t.Run("a concurrent change is refused with the current generation", func(t *testing.T) {
			var answer struct {
				Error struct{ Code, Message, Remedy string }
			}
			status := f.callOperators(1, http.MethodPut, "/settings/team", Subtree{Generation: 1, Spec: body}, &answer)
			require.Equal(t, http.StatusConflict, status)
			require.Contains(t, answer.Error.Message, "generation 2")
			require.NotEmpty(t, answer.Error.Remedy)
		})
		t.Run("an unknown field is refused with its path", func(t *testing.T) {
			var answer struct{ Error struct{ Message string } }
			status := f.callOperators(1, http.MethodPut, "/settings/team", Subtree{Generation: 2, Spec: []byte(`{"serverz":{}}`)}, &answer)
			require.Equal(t, http.StatusBadRequest, status)
			require.Contains(t, answer.Error.Message, "$.serverz")
		})
		t.Run("a rollback creates a new generation", func(t *testing.T) {
			var s Subtree
			require.Equal(t, http.StatusOK, f.callOperators(1, http.MethodPost, "/settings/team/rollback/1", nil, &s))
			require.EqualValues(t, 3, s.Generation)
		})
	})
}

// TestSettingsNeverRevert serves stale lists, restarts an instance and makes the
// platform unavailable. No instance may return to an older generation.
func TestSettingsNeverRevert(t *testing.T) {
	withFleet(t, smallFleet, func(f *fleet) {
		seen := map[string]int64{}
		requireNoRevert := func() {
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
			status := f.callOperators(round%3, http.MethodPut, "/settings/team", Subtree{Generation: int64(round + 1), Spec: spec}, nil)
			require.Equal(t, http.StatusOK, status)
			requireNoRevert()
			if round == 3 {
				f.platform.SetFaults(platformOutage)
				f.kill(3)
				f.restart(3)
				delete(seen, instanceName(3))
				time.Sleep(5 * time.Second)
				require.EqualValues(t, round+2, f.instances[3].settings.Tree().Generation("team"), "an instance that starts during an outage must get its settings from peers")
				f.platform.SetFaults(rwstandin.PlatformFaults{})
			}
			for range 20 {
				time.Sleep(2 * time.Second)
				requireNoRevert()
			}
		}
	})
}
