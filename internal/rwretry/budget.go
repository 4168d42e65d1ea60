// Package rwretry bounds retries: a budget per route that first tries fill and
// retries spend, and a memory of refusals that answers callers who come back
// too early.
package rwretry

import (
	"sync"
)

const (
	budgetBurst = 20 // retries that a route may make at once after a quiet time
)

// Budget holds one account per route. Each first try adds the route's share;
// each retry takes one. Requests are spread over instances by hash, so that the
// instances' budgets add up to one of the fleet.
type Budget struct {
	Most func() float64 // that an account may hold; nil for a default

	mu       sync.Mutex
	accounts map[string]float64
}

// First notes a first try on a route with a budget share.
func (b *Budget) First(route string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balanceLocked(route)
	b.accounts[route] = min(b.most(), balance+share)
}

// Spend takes one retry from a route's account, and reports whether it had one.
func (b *Budget) Spend(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balanceLocked(route)
	if balance < 1 {
		return false
	}
	b.accounts[route] = balance - 1
	return true
}

func (b *Budget) most() float64 {
	if b.Most == nil {
		return budgetBurst
	}
	return b.Most()
}

// Balances returns each route's account.
func (b *Budget) Balances() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.accounts))
	for k, v := range b.accounts {
		out[k] = v
	}
	return out
}

func (b *Budget) balanceLocked(route string) float64 {
	if b.accounts == nil {
		b.accounts = map[string]float64{}
	}
	balance, ok := b.accounts[route]
	if !ok {
		balance = b.most()
		b.accounts[route] = balance
	}
	return balance
}
