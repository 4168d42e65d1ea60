// Package rwusage counts, for windows of true time, the requests of each organisation that
// backend servers began, gathers the counts of all instances and reports each window once.
//
// It answers instances that are killed, cut off or replaced while counts are under way, lost
// and repeated datagrams, clocks that are off, and a store or a platform that is away: sums
// are cumulative and sent to several instances, a report is frozen in the store before it is
// sent, and time is that of most instances.
//
// Clock, Sums and ledger decide without a network. Duty sends and receives; what talks to the
// store and the platform is reporter.
package rwusage
