// Package rwretry limits retries. Budget is a token bucket per route that first
// attempts fill and retries drain. Refusals records refused requests, so that callers
// that retry before their Retry-After time can be refused again.
package rwretry

import (
	"sync"
)

const (
	defaultCapacity = 20 // tokens: the retries in a burst on an idle route
)

// Budget is a retry budget: a token bucket per route. Each first attempt adds the
// route's ratio of retries to requests, each retry takes one token. Requests are
// distributed over the instances by hash, so the budgets of all instances together
// limit the retries of the fleet. The zero value is ready for use.
type Budget struct {
	Capacity func() float64 // returns the capacity of a bucket in tokens; nil selects a default

	mu       sync.Mutex
	balances map[string]float64
}

// Deposit adds ratio tokens to a route's bucket for a first attempt.
func (b *Budget) Deposit(route string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balanceLocked(route)
	b.balances[route] = min(b.capacity(), balance+ratio)
}

// Spend takes one token from a route's bucket, and reports whether there was one.
func (b *Budget) Spend(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balanceLocked(route)
	if balance < 1 {
		return false
	}
	b.balances[route] = balance - 1
	return true
}

func (b *Budget) capacity() float64 {
	if b.Capacity == nil {
		return defaultCapacity
	}
	return b.Capacity()
}

// Balances returns the number of tokens in each route's bucket.
func (b *Budget) Balances() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	balances := make(map[string]float64, len(b.balances))
	for route, balance := range b.balances {
		balances[route] = balance
	}
	return balances
}

// balanceLocked returns the number of tokens in a route's bucket. A new bucket is full.
func (b *Budget) balanceLocked(route string) float64 {
	if b.balances == nil {
		b.balances = map[string]float64{}
	}
	balance, ok := b.balances[route]
	if !ok {
		balance = b.capacity()
		b.balances[route] = balance
	}
	return balance
}
