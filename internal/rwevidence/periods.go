package rwevidence

import (
	"encoding/json"
	"math"
)

// Periods is the number of periods of a move. Latencies are compared within periods: the share
// of the new version changes during a move, and so may the load, which would make the version
// look slower that gets more of the later requests.
const Periods = 6

// Later holds the latencies of all periods but the first one. They are part of the First and
// TokenTime of the evidence too.
type Later struct {
	First     laterLoads `json:"first,omitzero"`
	TokenTime laterLoads `json:"token,omitzero"`
}

type (
	laterLoads [Periods - 1][loadBins]LogDurations
	byPeriod   [Periods][loadBins]LogDurations
)

// WithoutPeriods returns the summary as if all attempts were of the first period.
func (e Evidence) WithoutPeriods() Evidence {
	e.Later = Later{}
	return e
}

func (e Evidence) firsts() byPeriod     { return splitByPeriod(e.First, e.Later.First) }
func (e Evidence) tokenTimes() byPeriod { return splitByPeriod(e.TokenTime, e.Later.TokenTime) }

// splitByPeriod subtracts the later periods from the sum of all to get the first one.
func splitByPeriod(all [loadBins]LogDurations, later laterLoads) byPeriod {
	split := byPeriod{all}
	for period, loads := range later {
		split[period+1] = loads
		for bin := range loads {
			split[0][bin] = split[0][bin].minus(loads[bin])
		}
	}
	return split
}

// laterRow is the encoded form of the durations of one period and load: the index of the period
// and of the load, and the count, sum and sum of squares.
type laterRow [5]float64

// rowScale is the inverse of the precision of encoded sums. It keeps the evidence on a version
// within a notice to other instances.
const rowScale = 1e4

// MarshalJSON returns a row for each period and load with durations.
func (l laterLoads) MarshalJSON() ([]byte, error) {
	rows := []laterRow{}
	round := func(x float64) float64 { return math.Round(x*rowScale) / rowScale }
	for period, loads := range l {
		for bin, d := range loads {
			if d.Count > 0 {
				rows = append(rows, laterRow{float64(period + 1), float64(bin), d.Count, round(d.Sum), round(d.Square)})
			}
		}
	}
	return json.Marshal(rows)
}

// UnmarshalJSON reads rows. It ignores those of periods and loads that this build doesn't have.
func (l *laterLoads) UnmarshalJSON(content []byte) error {
	var rows []laterRow
	if err := json.Unmarshal(content, &rows); err != nil {
		return err
	}
	*l = laterLoads{}
	for _, row := range rows {
		period, bin := int(row[0])-1, int(row[1])
		if period >= 0 && period < len(l) && bin >= 0 && bin < loadBins && row[2] > 0 {
			l[period][bin] = LogDurations{Count: row[2], Sum: row[3], Square: row[4]}
		}
	}
	return nil
}
