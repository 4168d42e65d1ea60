package rwfeed

import (
	"math/rand/v2"
	"testing"
	"time"

	"ragwortwall/internal/rwtime"

	"github.com/stretchr/testify/require"
)

const testMaxPause = 2 * time.Second

// span returns a period by its ends in milliseconds.
func span(sinceMillis, untilMillis int) Span {
	at := func(millis int) rwtime.BootTime {
		return rwtime.BootTime(time.Duration(millis) * time.Millisecond)
	}
	return Span{at(sinceMillis), at(untilMillis)}
}

// TestSpanWith guards against outages of the store that are seen where there were none, or not seen:
// periods in which it has answered several instances are joined in any order.
func TestSpanWith(t *testing.T) {
	for name, c := range map[string]struct{ one, other, want Span }{
		"none is known":                     {Span{}, span(10, 20), span(10, 20)},
		"the other one is of none":          {span(10, 20), Span{}, span(10, 20)},
		"they overlap":                      {span(1000, 5000), span(4000, 6000), span(1000, 6000)},
		"one is within the other":           {span(1000, 9000), span(4000, 6000), span(1000, 9000)},
		"a short pause":                     {span(1000, 5000), span(7000, 8000), span(1000, 8000)},
		"a long pause":                      {span(1000, 5000), span(7001, 8000), span(7001, 8000)},
		"another instance had no pause":     {span(7001, 8000), span(1000, 7500), span(1000, 8000)},
		"another instance's ended long ago": {span(7001, 8000), span(1000, 5000), span(7001, 8000)},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.one.With(c.other, testMaxPause))
			require.Equal(t, c.want, c.other.With(c.one, testMaxPause), "in the other order")
		})
	}
}

// TestSpanOffsets guards against a period that grows on its way from instance to instance, by which
// a ring of them could keep it up while the store is away.
func TestSpanOffsets(t *testing.T) {
	for range 1000 {
		since := rand.N(time.Hour)
		want := Span{rwtime.BootTime(since), rwtime.BootTime(since + rand.N(time.Hour))}
		received := rwtime.BootTime(rand.N(2 * time.Hour))
		got := want.offsets(received).span(received)
		require.GreaterOrEqual(t, got.Since, want.Since)
		require.LessOrEqual(t, got.Until, want.Until)
		require.Less(t, got.Since-want.Since, rwtime.BootTime(time.Millisecond))
		require.Less(t, want.Until-got.Until, rwtime.BootTime(time.Millisecond))
	}
	require.Nil(t, Span{}.offsets(0))
}

// TestAvailability guards against an instance that was cut off from the store alone and takes that
// for an outage of the store, or that doesn't see an outage of which the others tell it.
func TestAvailability(t *testing.T) {
	// The instance had answers until 0 and has the next one at 5500.
	for name, c := range map[string]struct {
		told []Span // by others, in this order
		want Span
	}{
		"alone":                                 {nil, span(5500, 5600)},
		"followed others meanwhile":             {[]Span{span(-9000, 900), span(-9000, 2800), span(-9000, 4600), span(-9000, 5500)}, span(-9000, 5600)},
		"heard of others late":                  {[]Span{span(-9000, 900), span(5500, 5550), span(-9000, 5500)}, span(-9000, 5600)},
		"others had no answer either":           {[]Span{span(-9000, 900), span(5300, 5400)}, span(5300, 5600)},
		"others hear of those that had answers": {[]Span{span(5300, 5400), span(-9000, 5400)}, span(-9000, 5600)},
	} {
		t.Run(name, func(t *testing.T) {
			a := &Availability{MaxPause: testMaxPause}
			a.Record(span(-9000, 0))
			for _, s := range c.told {
				a.Record(s)
			}
			a.Record(span(5500, 5600))
			require.Equal(t, c.want, a.Span())
		})
	}
}

// TestAvailabilityOfOpenWatch checks that a watch which was open until it was reset shows that the
// store answered until then, and that nothing does before the first answer.
func TestAvailabilityOfOpenWatch(t *testing.T) {
	a := &Availability{MaxPause: testMaxPause}
	a.Extend(span(0, 1000).Until)
	require.True(t, a.RecoveredAt().IsZero())
	a.Record(span(0, 1000))
	a.Extend(span(0, 2500).Until)
	a.Record(span(4500, 4600))
	require.Equal(t, span(0, 4600), a.Span())
}
