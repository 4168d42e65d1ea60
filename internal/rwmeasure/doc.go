// Package rwmeasure runs benchmark scenarios, on a fleet of real processes or on
// single packages, and checks the results against the targets in the users'
// requirements. It prints each result as one line of JSON.
package rwmeasure
