package rwcapacity

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitLine(t *testing.T) {
	l := FitLine([]float64{1, 2, 3}, []float64{5, 7, 9})
	require.InDelta(t, 3, l.Intercept, 1e-9)
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 0, l.MaxResidual, 1e-9)
	require.InDelta(t, 23, l.Value(10), 1e-9)
}

func TestStreams(t *testing.T) {
	require.InDelta(t, 102200, DesignSize.Streams(), 1)
	require.InDelta(t, 524, DesignSize.StreamsPerInstance(), 1)
}

func TestEffectOfZoneLoss(t *testing.T) {
	effect := EffectOf(DesignSize, Losses(DesignSize)[2])
	require.InDelta(t, 0.2*DesignSize.Streams(), effect.Adopted, 1)
	require.InDelta(t, 1.25, effect.SurvivorLoad, 1e-9)
	require.InDelta(t, 0.04*DesignSize.Streams(), effect.LostBoth, 1)
}

func TestWithinBudget(t *testing.T) {
	require.False(t, Row{Value: 2, Budget: 1}.WithinBudget())
	require.True(t, Row{Value: 2}.WithinBudget())
}

// TestTablesMatchMeasurements guards against tables in docs/CAPACITY.md that were
// not regenerated after docs/slopes.json or the computation changed.
func TestTablesMatchMeasurements(t *testing.T) {
	content, err := os.ReadFile("../../docs/slopes.json")
	require.NoError(t, err)
	var m Measurements
	require.NoError(t, json.Unmarshal(content, &m))
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	updated, err := ReplaceTables(string(page), Tables(m))
	require.NoError(t, err)
	require.Equal(t, updated, string(page), "the tables are out of date: run 'make slopes', or 'rwmeasure --tables' if only the computation changed")
}
