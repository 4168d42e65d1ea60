package rwforward_test

import (
	"context"
	"testing"
	"testing/synctest"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwforward"
	"ragwortwall/internal/rwroute"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// describingEngines are model servers that only describe themselves.
type describingEngines struct {
	rwforward.EngineClient
	rwbackend.ServerStatus
	err   error
	calls int
}

func (s *describingEngines) Describe(context.Context, string) (rwbackend.ServerStatus, error) {
	s.calls++
	return s.ServerStatus, s.err
}

// TestVerifyAsync checks that a server that answers at another's address is added only
// if its description proves that it replaces the other; otherwise requests could go to a
// server of another service, or to one that is shutting down.
func TestVerifyAsync(t *testing.T) {
	table := rwroute.New(rwroute.Parts{Services: []rwroute.Service{{Name: "model", Engine: rwroute.Engine{Slots: 1, Models: []string{"m"}}}}})
	old := rwbackend.Entry{ID: "old", Service: "model", Address: "a", Zone: "z", Slots: 12, Incarnation: 5, Leaving: true}
	valid := rwbackend.ServerStatus{Incarnation: 6, Models: []string{"m"}, Ready: true}
	for name, c := range map[string]struct {
		engines describingEngines
		table   *rwroute.Table
		id      string
		want    bool
	}{
		"replacement":               {describingEngines{ServerStatus: valid}, table, "new", true},
		"no id":                     {describingEngines{ServerStatus: valid}, table, "", false},
		"the same id":               {describingEngines{ServerStatus: valid}, table, "old", false},
		"no response":               {describingEngines{ServerStatus: valid, err: errors.New("silent")}, table, "new", false},
		"models of another service": {describingEngines{ServerStatus: rwbackend.ServerStatus{Incarnation: 6, Models: []string{"x"}, Ready: true}}, table, "new", false},
		"no models":                 {describingEngines{ServerStatus: rwbackend.ServerStatus{Incarnation: 6, Ready: true}}, table, "new", false},
		"not ready":                 {describingEngines{ServerStatus: rwbackend.ServerStatus{Incarnation: 6, Models: []string{"m"}}}, table, "new", false},
		"an earlier incarnation":    {describingEngines{ServerStatus: rwbackend.ServerStatus{Incarnation: 4, Models: []string{"m"}, Ready: true}}, table, "new", false},
		"settings unknown":          {describingEngines{ServerStatus: valid}, nil, "new", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []rwbackend.Entry
				n := &rwforward.ReplacementVerifier{Engines: &c.engines, Table: func() *rwroute.Table { return c.table }, Log: logr.Discard()}
				n.Adopt = func(e rwbackend.Entry) error {
					got = append(got, e)
					return nil
				}
				n.VerifyAsync(old, c.id)
				n.VerifyAsync(old, c.id)
				synctest.Wait()
				require.LessOrEqual(t, c.engines.calls, 1, "server asked twice at the same time")
				if !c.want {
					require.Empty(t, got)
					return
				}
				require.Equal(t, []rwbackend.Entry{{ID: "new", Service: "model", Address: "a", Zone: "z", Slots: 12, Incarnation: 6}}, got)
			})
		})
	}
}
