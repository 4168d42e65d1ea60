// Package rwfeed follows what the platform's store keeps: the desired state and
// the list of backend servers. It lists once and then watches, never takes an
// older revision for a newer one, and knows when what it holds was last
// confirmed, counted from before the call that confirmed it left, on a clock
// that goes on while the machine is suspended.
package rwfeed
