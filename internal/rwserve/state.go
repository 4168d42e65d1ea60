package rwserve

import (
	"time"

	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwslot"
)

// State is a snapshot of an instance's state for operators.
type State struct {
	Instance    rwmember.Peer          `json:"instance"`
	Incarnation uint64                 `json:"incarnation"`
	Uptime      string                 `json:"uptime"`
	Leaving     bool                   `json:"leaving"`
	Ready       string                 `json:"ready"`
	Majority    bool                   `json:"majority"`
	Members     []rwmember.Member      `json:"members"`
	Settings    map[string]int64       `json:"settings"`          // generation by subtree
	Refused     map[string]string      `json:"refused,omitempty"` // reason by subtree whose newest copy is invalid
	Owned       map[string]rwslot.Load `json:"owned"`             // load by backend server that this instance owns
	Slots       int                    `json:"slots"`             // held by generations whose primary is here
	Answers     int                    `json:"answers"`           // open requests of callers
	Journals    int                    `json:"journals"`          // bytes
	Generations []GenerationState      `json:"generations"`
	Budgets     map[string]float64     `json:"budgets"` // tokens in the retry budget, by route
	Suspicions  []rwpoison.Suspicion   `json:"suspicions"`
	Counters    map[string]int64       `json:"counters"`
	Traffic     TrafficState           `json:"traffic"`
}

// TrafficState counts the traffic with other instances since the process started.
type TrafficState struct {
	Sent     int64 `json:"sent"`     // bytes
	Received int64 `json:"received"` // bytes
	Writes   int64 `json:"writes"`
	Dials    int64 `json:"dials"`
}

func (i *Instance) trafficState() TrafficState {
	return TrafficState{
		Sent:     i.traffic.Sent.Load(),
		Received: i.traffic.Received.Load(),
		Writes:   i.traffic.Writes.Load(),
		Dials:    i.traffic.Dials.Load(),
	}
}

// GenerationState is the state of one generation at its primary.
type GenerationState struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Version      string `json:"version"`
	Server       string `json:"server"`
	Attempt      int    `json:"attempt"`
	Tokens       int    `json:"tokens"`
	Finish       string `json:"finish,omitempty"`
}

const maxDumpedGenerations = 1000

// State returns a snapshot with at most maxDumpedGenerations generations.
func (i *Instance) State() State {
	s := State{
		Instance:    i.Config.Peer(),
		Incarnation: i.incarnation,
		Uptime:      time.Since(i.started).Round(time.Millisecond).String(),
		Leaving:     i.view.Leaving(),
		Ready:       "yes",
		Majority:    i.view.HasMajority(),
		Members:     i.view.Members(),
		Settings:    map[string]int64{},
		Refused:     i.settings.RejectedSubtrees(),
		Owned:       i.owner.Loads(),
		Slots:       i.slots.LeaseCount(),
		Answers:     i.gateway.Active(),
		Journals:    i.primary.JournalBytes(),
		Budgets:     i.budget.Balances(),
		Suspicions:  i.suspicions.Known(),
		Counters:    i.counters.Values(),
		Traffic:     i.trafficState(),
	}
	if err := i.Ready(); err != nil {
		s.Ready = err.Error()
	}
	tree := i.settings.Tree()
	for _, name := range tree.Names() {
		s.Settings[name] = tree.Generation(name)
	}
	for _, g := range i.primary.Generations() {
		if len(s.Generations) == maxDumpedGenerations {
			break
		}
		s.Generations = append(s.Generations, generationState(g))
	}
	return s
}

// generationState returns the state of a generation. Finish is the kind of the error
// if the generation failed.
func generationState(g *rwgeneration.Generation) GenerationState {
	lineage := g.Lineage()
	count, _, finish := g.Journal.State()
	s := GenerationState{
		ID:           rwgeneration.FormatID(g.Spec.ID),
		Organisation: g.Spec.Organisation,
		Route:        g.Spec.Route,
		Version:      lineage.Version,
		Server:       lineage.Server,
		Attempt:      lineage.Attempt,
		Tokens:       count,
	}
	if finish != nil {
		s.Finish = finish.Reason
		if finish.Err != nil {
			s.Finish = string(finish.Err.Kind)
		}
	}
	return s
}
