package rwserve

import "runtime"

// Metrics returns the metrics that expvar publishes under the name ragwortwall.
// docs/OPERATIONS.md documents their names and units.
func (i *Instance) Metrics() map[string]any {
	metrics := map[string]any{
		"answers":     i.gateway.Active(),
		"relays":      i.gateway.Relays(),
		"generations": i.primary.CountRunning(),
		"journals":    i.primary.JournalBytes(),
		"slots":       i.slots.LeaseCount(),
		"members":     len(i.view.Reachable()),
		"goroutines":  runtime.NumGoroutine(),
		"traffic":     i.trafficState(),
		"restored":    i.settings.Restored(),
		"lostrecords": i.ledger.local.LostRecords(),
	}
	for name, value := range i.counters.Values() {
		metrics[name] = value
	}
	return metrics
}
