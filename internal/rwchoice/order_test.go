package rwchoice

import (
	"fmt"
	"testing"

	"ragwortwall/internal/rwslot"

	"github.com/stretchr/testify/require"
)

func servers(n int) (all []Candidate) {
	for i := range n {
		all = append(all, Candidate{Name: fmt.Sprintf("e%d", i), Load: rwslot.Load{Limit: 8}})
	}
	return all
}

func TestOrderSamePrefix(t *testing.T) {
	prompt := make([]byte, 2000)
	first := Order(PrefixHash(prompt), servers(36))[0].Name
	prompt[1999] = 1 // after the hashed prefix
	require.Equal(t, first, Order(PrefixHash(prompt), servers(36))[0].Name)
	prompt[0] = 1
	require.NotEqual(t, first, Order(PrefixHash(prompt), servers(36))[0].Name)
}

// TestOrderBounded verifies that no server exceeds the load limit when all requests
// share one prefix, which alone would send all of them to the same server.
func TestOrderBounded(t *testing.T) {
	all := servers(10)
	for range 40 {
		name := Order(42, all)[0].Name
		for i := range all {
			if all[i].Name == name {
				all[i].Load.Held++
			}
		}
	}
	for _, c := range all {
		require.LessOrEqual(t, c.Load.Held, 6, "the limit is 1.25 times the mean load of 4; one request more is accepted")
	}
}

// TestOrderFullLast verifies that servers without a free slot come last, whatever
// the prefix.
func TestOrderFullLast(t *testing.T) {
	all := servers(3)
	all[0].Load.Held = 8
	all[1].Load.Held = 8
	require.Equal(t, "e2", Order(1, all)[0].Name)
}
