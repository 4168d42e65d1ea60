// Package rwlab runs a small fleet as separate processes on this machine, for
// the demo, the measurements and the tests with real processes: one platform,
// entry instances in several zones, engines and order services. It ends only
// processes that it started.
package rwlab
