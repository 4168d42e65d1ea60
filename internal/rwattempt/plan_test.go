package rwattempt_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"ragwortwall/internal/rwattempt"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

type result = rwattempt.Result[string]

var errNone = errors.New("no server is left")

// script plays tries at servers 0, 1, 2 and so on.
type script struct {
	results []result
	budget  int
	patient int // tries after which the caller has left; 0 for never
	tries   int
}

func (s *script) plan(most int) rwattempt.Plan[int, string] {
	return rwattempt.Plan[int, string]{
		Most: most,
		Pick: func() (int, error) {
			if s.tries == len(s.results) {
				return 0, errNone
			}
			return s.tries, nil
		},
		Try: func(server int) result {
			s.tries++
			return s.results[server]
		},
		Again: func() bool {
			s.budget--
			return s.budget >= 0
		},
		Wait: func() bool { return s.patient == 0 || s.tries < s.patient },
	}
}

func answer(text string) result { return result{Answer: text} }

func failure(text string) result { return result{Answer: text, Failed: true} }

func lost(fate rwattempt.Fate) result {
	return result{Fate: fate, Err: errors.Errorf("fate %d", fate)}
}

func TestOnce(t *testing.T) {
	notRun, unsent, unknown, refused := lost(rwattempt.FateNotRun), lost(rwattempt.FateUnsent), lost(rwattempt.FateUnknown), lost(rwattempt.FateRefused)
	for name, c := range map[string]struct {
		script script
		most   int
		want   result
		tries  int
	}{
		"answered":                    {script{results: []result{answer("a")}}, 1, answer("a"), 1},
		"a failure is its answer":     {script{results: []result{failure("a"), answer("b")}, budget: 9}, 3, failure("a"), 1},
		"unknown is never repeated":   {script{results: []result{unknown, answer("b")}, budget: 9}, 3, unknown, 1},
		"unsent goes on":              {script{results: []result{unsent, unsent, answer("c")}}, 1, answer("c"), 3},
		"unsent, and none is left":    {script{results: []result{unsent}}, 1, result{Fate: rwattempt.FateRefused, Err: errNone}, 1},
		"unsent, and nobody waits":    {script{results: []result{unsent, answer("b")}, patient: 1}, 1, unsent, 1},
		"not run goes on":             {script{results: []result{notRun, answer("b")}, budget: 1}, 2, answer("b"), 2},
		"not run, one server at most": {script{results: []result{notRun, answer("b")}, budget: 9}, 1, notRun, 1},
		"not run, no budget":          {script{results: []result{notRun, answer("b")}}, 2, notRun, 1},
		"refused is final":            {script{results: []result{refused, answer("b")}, budget: 9}, 2, refused, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.script.plan(c.most).Once())
			require.Equal(t, c.tries, c.script.tries)
		})
	}
}

func TestRepeatable(t *testing.T) {
	notRun, unsent, unknown, refused := lost(rwattempt.FateNotRun), lost(rwattempt.FateUnsent), lost(rwattempt.FateUnknown), lost(rwattempt.FateRefused)
	for name, c := range map[string]struct {
		script script
		most   int
		want   result
		tries  int
	}{
		"answered":                     {script{results: []result{answer("a")}}, 2, answer("a"), 1},
		"lost, then answered":          {script{results: []result{unknown, answer("b")}, budget: 1}, 2, answer("b"), 2},
		"failed, then answered":        {script{results: []result{failure("a"), answer("b")}, budget: 1}, 2, answer("b"), 2},
		"failed everywhere":            {script{results: []result{failure("a"), failure("b"), answer("c")}, budget: 9}, 2, failure("b"), 2},
		"a failure before a loss":      {script{results: []result{failure("a"), unknown}, budget: 9}, 2, failure("a"), 2},
		"unsent is no repeat":          {script{results: []result{unsent, unsent, answer("c")}}, 1, answer("c"), 3},
		"no budget":                    {script{results: []result{notRun, answer("b")}}, 2, notRun, 1},
		"refused is final":             {script{results: []result{unknown, refused, answer("c")}, budget: 9}, 5, refused, 2},
		"none is left":                 {script{}, 2, result{Fate: rwattempt.FateRefused, Err: errNone}, 0},
		"none is left after a loss":    {script{results: []result{unknown}, budget: 9}, 3, unknown, 1},
		"none is left after a failure": {script{results: []result{failure("a")}, budget: 9}, 3, failure("a"), 1},
		"nobody waits":                 {script{results: []result{unknown, answer("b")}, budget: 9, patient: 1}, 3, unknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.script.plan(c.most).Repeatable())
			require.Equal(t, c.tries, c.script.tries)
		})
	}
}

// TestNeverTwice plays random tries: a request that must not run twice has at most
// one try that may have run, and what is called not run has none; a repeatable one
// stays within its servers and its budget.
func TestNeverTwice(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := script{budget: r.IntN(4)}
		budget := s.budget
		for range r.IntN(6) {
			fate := rwattempt.Fate(r.IntN(5))
			one := lost(fate)
			if fate == rwattempt.FateAnswered {
				one = result{Answer: fmt.Sprint(r.Int()), Failed: r.IntN(2) == 0}
			}
			s.results = append(s.results, one)
		}
		most := 1 + r.IntN(4)
		may := func() int {
			n := 0
			for _, one := range s.results[:s.tries] {
				if one.Fate == rwattempt.FateAnswered || one.Fate == rwattempt.FateUnknown {
					n++
				}
			}
			return n
		}
		got := s.plan(most).Once()
		require.LessOrEqual(t, may(), 1, "seed %d", seed)
		if got.Fate != rwattempt.FateAnswered && got.Fate != rwattempt.FateUnknown {
			require.Zero(t, may(), "seed %d", seed)
		}
		s.tries, s.budget = 0, budget
		s.plan(most).Repeatable()
		sent := 0
		for _, one := range s.results[:s.tries] {
			if one.Fate != rwattempt.FateUnsent && one.Fate != rwattempt.FateRefused {
				sent++
			}
		}
		require.LessOrEqual(t, sent, min(most, 1+budget), "seed %d", seed)
	}
}
