// Package rwmeasure measures what the users asked for, on real processes or on
// the parts alone, and sets each figure against its target. Each line of output
// is one JSON object.
package rwmeasure
