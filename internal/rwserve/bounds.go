package rwserve

import (
	"cmp"
	"runtime/debug"
	"time"

	"ragwortwall/internal/rwaccount"
	"ragwortwall/internal/rwnet"
)

const (
	maxHeaderBytes = 64 << 10
	// bodyTimeout limits the body of a caller's request.
	bodyTimeout = time.Minute
	// operatorTimeout limits an operator's request.
	operatorTimeout = 30 * time.Second
	// heapFraction is the fraction of the configured memory that becomes the runtime's soft limit.
	heapFraction = 0.7
)

// initBounds sets what clients may take of this process, from its memory and descriptors.
func (i *Instance) initBounds() {
	memory := i.Config.MemoryMB << 20
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(memory)))
	}
	i.memory = rwaccount.NewMemory(cmp.Or(memory, rwaccount.MachineMemory()))
	i.shares = rwaccount.NewShares(cmp.Or(i.Config.Descriptors, rwaccount.ProcessDescriptors()))
	i.callers.MaxIdle = func() time.Duration { return 0 } // the server closes idle connections
	i.callers.Max, i.callers.Memory, i.callers.BodyTimeout = i.shares.Callers, i.memory, bodyTimeout
	i.callers.Count = func(name string) { i.counters.Add(name, 1) }
}

func (i *Instance) instanceBounds() rwnet.Bounds {
	return rwnet.Bounds{MaxConns: i.shares.Peers, Memory: i.memory, Count: func() { i.counters.Add("instances_closed", 1) }}
}

func (i *Instance) operatorsDoor() *rwaccount.Door {
	return &rwaccount.Door{Max: i.shares.Small, Count: func() { i.counters.Add("operators_closed", 1) }}
}
