package rwurgency_test

import (
	"fmt"
	"testing"
	"time"

	"ragwortwall/internal/rwurgency"

	"github.com/stretchr/testify/require"
)

var (
	none   = rwurgency.Priority{}
	first  = rwurgency.Priority{Set: true}
	second = rwurgency.Priority{Value: 1, Set: true}
	now    = time.Unix(1000, 0)
)

func routes(priorities ...int) []rwurgency.Route {
	list := make([]rwurgency.Route, len(priorities))
	for n, p := range priorities {
		list[n].Priority = p
	}
	return list
}

func told(u rwurgency.Urgency) string {
	priority, ok := u.Told()
	return fmt.Sprint(priority, ok)
}

func TestOnlyOrganisationIsToldWhereRoutesAreEqual(t *testing.T) {
	s := rwurgency.NewScale([]rwurgency.Priority{first, second, none}, routes(2, 2))
	require.False(t, s.Graded())
	require.Equal(t, "1 true", told(s.Of(second, rwurgency.Route{Priority: 2}, now)))
	require.Equal(t, "1 true", told(s.Of(second, rwurgency.Route{Priority: 2}, now).WithBegun()))
	require.Equal(t, "0 false", told(s.Of(none, rwurgency.Route{Priority: 2}, now)))
	require.Zero(t, s.Of(second, rwurgency.Route{Priority: 2}, now).Yield())
	require.Equal(t, 1, s.Of(second, rwurgency.Route{Priority: 2}, now).LimitPriority())
	require.Equal(t, 2, s.Of(none, rwurgency.Route{Priority: 2}, now).LimitPriority())
}

func TestOrganisationComesBeforeRoute(t *testing.T) {
	s := rwurgency.NewScale([]rwurgency.Priority{second, first, second}, routes(2, 0))
	inOrder := []rwurgency.Urgency{
		s.Of(first, rwurgency.Route{Priority: 0}, now).WithBegun(), s.Of(first, rwurgency.Route{Priority: 0}, now), s.Of(first, rwurgency.Route{Priority: 2}, now).WithBegun(), s.Of(first, rwurgency.Route{Priority: 2}, now),
		s.Of(second, rwurgency.Route{Priority: 0}, now).WithBegun(), s.Of(second, rwurgency.Route{Priority: 0}, now), s.Of(second, rwurgency.Route{Priority: 2}, now).WithBegun(), s.Of(second, rwurgency.Route{Priority: 2}, now),
	}
	for n, u := range inOrder {
		require.Equal(t, fmt.Sprint(n, " true"), told(u))
		if n > 0 {
			require.Negative(t, inOrder[n-1].Compare(u))
			require.Positive(t, u.Compare(inOrder[n-1]))
		}
	}
	require.Zero(t, s.Of(first, rwurgency.Route{Priority: 0}, now).Yield())
	require.Zero(t, s.Of(second, rwurgency.Route{Priority: 0}, now).Yield())
	require.InDelta(t, 1, s.Of(second, rwurgency.Route{Priority: 2}, now).Yield(), 1e-9)
	require.Zero(t, s.Of(second, rwurgency.Route{Priority: 2}, now).WithBegun().Yield(), "a stream that has begun leaves no room")
}

func TestManyPrioritiesKeepTheirOrderInTenValues(t *testing.T) {
	organisations := []rwurgency.Priority{none, first, second, {Value: 7, Set: true}}
	s := rwurgency.NewScale(organisations, routes(0, 1, 2, 9))
	last := 0
	for _, o := range []rwurgency.Priority{first, second, none, {Value: 7, Set: true}} {
		for _, route := range []int{0, 1, 2, 9} {
			u := s.Of(o, rwurgency.Route{Priority: route}, now)
			priority, _ := u.Told()
			begun, _ := u.WithBegun().Told()
			require.GreaterOrEqual(t, priority, last)
			require.LessOrEqual(t, begun, priority)
			require.LessOrEqual(t, priority, 9)
			last = priority
		}
	}
}

func TestUnknownPrioritiesStayInTheScale(t *testing.T) {
	u := rwurgency.NewScale([]rwurgency.Priority{first}, routes(0, 2)).Of(rwurgency.Priority{Value: 8, Set: true}, rwurgency.Route{Priority: 5}, now)
	class, classes := u.Class()
	require.Equal(t, classes-1, class)
	_, ok := rwurgency.Scale{}.Of(first, rwurgency.Route{Priority: 5}, now).Told()
	require.True(t, ok)
}

func TestCallerThatComesBackKeepsItsRank(t *testing.T) {
	s := rwurgency.NewScale([]rwurgency.Priority{second}, routes(0, 2))
	back, fresh := s.Of(second, rwurgency.Route{Priority: 2}, now.Add(20*time.Second)), s.Of(second, rwurgency.Route{Priority: 2}, now.Add(25*time.Second))
	require.Negative(t, back.Compare(fresh))
}
