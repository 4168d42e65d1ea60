// Package rwaccount bounds what clients that nobody controls take of a process: bytes of its
// memory and descriptors. It answers crowds that open more connections, or send and keep more,
// than the machine bears, at any listener of the process.
//
// Memory is one account that all listeners draw on. What is far above usual amounts may use only
// a part of it, so that the rest is left to ordinary callers. Descriptors are shared out by
// NewShares; Door and Listener keep the connections of a listener within its share and close
// those that have waited longest for their client.
package rwaccount

import (
	"sync/atomic"
	"syscall"
)

// Size tells a usual amount of memory from one that a client chose to make large.
type Size int

// Sizes of reservations.
const (
	SizeUsual Size = iota
	SizeLarge      // bounded by largeFraction of the account
)

const (
	// memoryFraction is the part of the memory of the process that clients may take together.
	// The rest is for the program, its own state and garbage.
	memoryFraction = 0.5
	// largeFraction is the part of the account that large amounts may take.
	largeFraction = 0.8
)

// Memory is an account of bytes that are held for clients. A nil account has no limit.
type Memory struct {
	limit int64
	held  atomic.Int64
}

// NewMemory returns the account of a process that may use a number of bytes, or nil if that is
// zero.
func NewMemory(processBytes int) *Memory {
	if processBytes <= 0 {
		return nil
	}
	return &Memory{limit: int64(memoryFraction * float64(processBytes))}
}

// Reserve adds bytes to the account. It reports false, and changes nothing, if there is no room.
func (m *Memory) Reserve(bytes int64, size Size) bool {
	if m == nil || bytes <= 0 {
		return true
	}
	limit := m.limit
	if size == SizeLarge {
		limit = int64(largeFraction * float64(limit))
	}
	for {
		held := m.held.Load()
		if held+bytes > limit {
			return false
		}
		if m.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// Release gives reserved bytes back.
func (m *Memory) Release(bytes int64) {
	if m != nil {
		m.held.Add(-bytes)
	}
}

// Held returns the reserved bytes.
func (m *Memory) Held() int64 {
	if m == nil {
		return 0
	}
	return m.held.Load()
}

// Shares are the connections that each listener of a process may have. What they leave is for
// connections to servers, to the store and to other instances.
type Shares struct {
	Callers int // listener for callers
	Peers   int // listener for other instances
	Small   int // each other listener
	Relayed int // connections relayed for other instances, each with one to a server
}

const (
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// callersFraction is the part of the other descriptors that callers may have: each of their
	// requests may need a connection to a server besides.
	callersFraction = 0.4
	peersFraction   = 0.125
	relayedFraction = 0.0625
	maxSmall        = 32
	maxRelayed      = 256
	minShare        = 4
)

// NewShares returns the shares for a process with a number of descriptors.
func NewShares(descriptors int) Shares {
	sockets := float64(max(0, descriptors-fileDescriptors))
	return Shares{
		Callers: max(minShare, int(callersFraction*sockets)),
		Peers:   max(minShare, int(peersFraction*sockets)),
		Small:   min(maxSmall, max(minShare, int(peersFraction*sockets))),
		Relayed: min(maxRelayed, max(minShare, int(relayedFraction*sockets))),
	}
}

// ProcessDescriptors returns the number of descriptors that the system allows this process, or a
// usual one if it doesn't tell.
func ProcessDescriptors() int {
	const usual, most = 1024, 1 << 20
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return usual
	}
	return int(min(limit.Cur, most)) //nolint:gosec // at most 1<<20
}
