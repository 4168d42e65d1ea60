package rwcapacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// LinearFit is a straight line fitted to measured points.
type LinearFit struct {
	Intercept   float64   `json:"base"`
	Slope       float64   `json:"slope"`
	MaxResidual float64   `json:"spread"` // largest distance of a point from the line
	Sizes       []float64 `json:"at"`     // sizes that were measured
	Values      []float64 `json:"values"` // measured value at each size
}

// FitLine fits a line to the points by ordinary least squares.
func FitLine(sizes, values []float64) LinearFit {
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	l := LinearFit{Intercept: intercept, Slope: slope, Sizes: sizes, Values: values}
	for i, x := range sizes {
		l.MaxResidual = math.Max(l.MaxResidual, math.Abs(values[i]-intercept-slope*x))
	}
	return l
}

// Value returns the fitted value at a size.
func (l LinearFit) Value(size float64) float64 { return l.Intercept + l.Slope*size }

// Measurements holds the measured costs that the tables are computed from. It is
// stored in docs/slopes.json.
type Measurements struct {
	// Idle instance, by the number of peers that it exchanges with in one round.
	PeersCore     LinearFit `json:"peerscore"`     // cores
	PeersBytes    LinearFit `json:"peersbytes"`    // bytes a second, sent and received
	PeersMessages LinearFit `json:"peersmessages"` // writes a second
	PeersMemory   LinearFit `json:"peersmemory"`   // bytes
	// Idle instance, by the number of backend servers that it owns. The units are those above.
	OwnedCore   LinearFit `json:"ownedcore"`
	OwnedBytes  LinearFit `json:"ownedbytes"`
	OwnedMemory LinearFit `json:"ownedmemory"`
	// Store calls a second, by the number of instances.
	StoreCalls LinearFit `json:"storecalls"`
	// Seconds to apply a change of settings, by the number of organisations.
	ApplyTime LinearFit `json:"applytime"`
	// Bytes of the settings tree in memory, by the number of organisations.
	TreeMemory LinearFit `json:"treememory"`

	TokenCoreSeconds     float64 `json:"tokencore"`    // core seconds per token, gateway and primary together
	StreamMemory         float64 `json:"streammemory"` // bytes per answer, gateway and primary together
	FirstTokenP95        float64 `json:"first"`        // seconds to the first token, including the engine's time
	AddedGapP95          float64 `json:"addedgap"`     // seconds added to the engine's time between tokens
	ResumeAfterKillP95   float64 `json:"resumekill"`   // seconds, after an engine and an instance were killed at once
	ResumeAfterFreezeP95 float64 `json:"resumefreeze"` // seconds, after an engine was frozen
	OrderCalls           float64 `json:"ordercalls"`   // store calls per order, at 200 orders a second
}

// exchangePeers is how many random peers an instance exchanges digests with in
// one round.
const exchangePeers = 5

// peersPerRound returns the number of peers of one round at a size.
func peersPerRound(s Size) float64 { return math.Min(exchangePeers, s.Instances-1) }
