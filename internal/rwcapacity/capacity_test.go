package rwcapacity

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	l := Fit([]float64{1, 2, 3}, []float64{5, 7, 9})
	require.InDelta(t, 3, l.Base, 1e-9)
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 0, l.Spread, 1e-9)
	require.InDelta(t, 23, l.Value(10), 1e-9)
}

func TestStreams(t *testing.T) {
	require.InDelta(t, 102200, TwoYears.Streams(), 1)
	require.InDelta(t, 524, TwoYears.StreamsPerNode(), 1)
}

func TestLossOfZone(t *testing.T) {
	r := After(TwoYears, Losses(TwoYears)[2])
	require.InDelta(t, 0.2*TwoYears.Streams(), r.Adopted, 1)
	require.InDelta(t, 1.25, r.Peak, 1e-9)
	require.InDelta(t, 0.04*TwoYears.Streams(), r.Both, 1)
}

func TestBudget(t *testing.T) {
	require.False(t, Row{Value: 2, Budget: 1}.Holds())
	require.True(t, Row{Value: 2}.Holds())
}

// TestPage fails when the page's tables are not what the arithmetic makes of the
// recorded slopes.
func TestPage(t *testing.T) {
	content, err := os.ReadFile("../../docs/slopes.json")
	require.NoError(t, err)
	var m Slopes
	require.NoError(t, json.Unmarshal(content, &m))
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	again, err := Rewrite(string(page), Tables(m))
	require.NoError(t, err)
	require.Equal(t, again, string(page), "run 'make slopes', or 'rwmeasure --tables' after a change of the arithmetic")
}
