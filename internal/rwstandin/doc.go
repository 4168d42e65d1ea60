// Package rwstandin holds small stand-ins for what ragwortwall meets outside:
// the platform's object API, a model engine, and a plain service. Each has
// switches for the faults that the real one shows. They serve the demo, the
// tests and the measurements; they are not a cluster simulator.
package rwstandin
