package rwcapacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line through measured points.
type Line struct {
	Base   float64   `json:"base"`
	Slope  float64   `json:"slope"`
	Spread float64   `json:"spread"` // largest distance of a point from the line
	At     []float64 `json:"at"`     // sizes that were run
	Values []float64 `json:"values"` // what was measured there
}

// Fit returns the line of least squares through the points.
func Fit(at, values []float64) Line {
	base, slope := stat.LinearRegression(at, values, nil, false)
	l := Line{Base: base, Slope: slope, At: at, Values: values}
	for i, x := range at {
		l.Spread = math.Max(l.Spread, math.Abs(values[i]-base-slope*x))
	}
	return l
}

// Value is the line's height at a size.
func (l Line) Value(at float64) float64 { return l.Base + l.Slope*at }

// Slopes is what was measured.
type Slopes struct {
	// Of an idle instance, by the number of peers of one round of exchanges.
	PeersCore     Line `json:"peerscore"`     // of a core
	PeersBytes    Line `json:"peersbytes"`    // a second, sent and received
	PeersMessages Line `json:"peersmessages"` // writes a second
	PeersMemory   Line `json:"peersmemory"`   // bytes
	// Of an idle instance, by the backend servers that it owns.
	OwnedCore   Line `json:"ownedcore"`
	OwnedBytes  Line `json:"ownedbytes"`
	OwnedMemory Line `json:"ownedmemory"`
	// Of the store, calls a second by the number of instances.
	StoreCalls Line `json:"storecalls"`
	// Of applying a change of settings, seconds by the number of organisations.
	ApplyTime Line `json:"applytime"`
	// Bytes of the tree in memory, by the number of organisations.
	TreeMemory Line `json:"treememory"`

	TokenCore    float64 `json:"tokencore"`    // core seconds a token, gateway and primary together
	StreamMemory float64 `json:"streammemory"` // bytes of an answer, gateway and primary together
	First        float64 `json:"first"`        // seconds to the first token, p95, engines' share included
	AddedGap     float64 `json:"addedgap"`     // seconds between tokens, p95, added to the engine's
	ResumeKill   float64 `json:"resumekill"`   // seconds, p95
	ResumeFreeze float64 `json:"resumefreeze"` // seconds, p95
	OrderCalls   float64 `json:"ordercalls"`   // store calls an order at 200 orders a second
}

// exchangePeers is how many peers an instance exchanges with in one round.
const exchangePeers = 5

// peersAt is the number of peers of one round at a size.
func peersAt(s Size) float64 { return math.Min(exchangePeers, s.Instances-1) }
