// Package rwlab runs a small fleet as separate processes on this machine, for
// the demo, the measurements and the tests with real processes: one platform
// stand-in, instances in several availability zones, and engine and order service
// stand-ins. It ends only processes that it started.
package rwlab
