package rwlockorder_test

import (
	"os"
	"path/filepath"
	"testing"

	"ragwortwall/internal/rwlockorder"

	"github.com/stretchr/testify/require"
)

// TestOneLockOrder guards against two goroutines that wait for each other's mutex for good:
// somewhere two mutexes are locked in either order.
func TestOneLockOrder(t *testing.T) {
	g, err := rwlockorder.Load("../..", "./internal/...", "./platform/...", "./pkg/...", "./cmd/rwentry", "./cmd/ragwortwall")
	require.NoError(t, err)
	require.Greater(t, g.Locks(), 10, "the packages were not analysed")
	for _, e := range g.Cycles() {
		t.Error(e)
	}
}

// TestCycles checks which orders of locks count as a cycle.
func TestCycles(t *testing.T) {
	const types = "package p\n\nimport \"sync\"\n\ntype a struct {\n\tmu sync.Mutex\n\tb *b\n\tcall func()\n}\n\n" +
		"type b struct {\n\tmu sync.Mutex\n\ta *a\n}\n\nfunc (x *a) lock() { x.mu.Lock(); defer x.mu.Unlock() }\n\nfunc (x *b) lock() { x.mu.Lock(); defer x.mu.Unlock() }\n\n" +
		"var _ = []any{(*a).lock, (*b).lock}\n\n"
	for name, c := range map[string]struct {
		source string
		cycle  bool
	}{
		"one order":                {"func (x *a) f() { x.mu.Lock(); defer x.mu.Unlock(); x.b.lock() }", false},
		"either order":             {"func (x *a) f() { x.mu.Lock(); defer x.mu.Unlock(); x.b.lock() }\n\nfunc (x *b) g() { x.mu.Lock(); x.a.lock(); x.mu.Unlock() }", true},
		"unlocked before the call": {"func (x *a) f() { x.mu.Lock(); defer x.mu.Unlock(); x.b.lock() }\n\nfunc (x *b) g() { x.mu.Lock(); x.mu.Unlock(); x.a.lock() }", false},
		"through a function field": {"func f(x *a, y *b) { x.call = y.lock }\n\nfunc (x *a) f() { x.mu.Lock(); defer x.mu.Unlock(); x.call() }\n\nfunc (x *b) g() { x.mu.Lock(); defer x.mu.Unlock(); x.a.lock() }", true},
		"through an interface":     {"type locker interface{ lock() }\n\nfunc f(x *a, l locker) { x.mu.Lock(); defer x.mu.Unlock(); l.lock() }\n\nfunc (x *b) g() { x.mu.Lock(); defer x.mu.Unlock(); x.a.lock() }\n\nfunc h(x *a, y *b) { f(x, y) }", true},
		"in another goroutine":     {"func (x *a) f() { x.mu.Lock(); defer x.mu.Unlock(); x.b.lock() }\n\nfunc (x *b) g() { x.mu.Lock(); defer x.mu.Unlock(); go x.a.lock() }", false},
		"locked on one branch":     {"func (x *a) f(is bool) {\n\tif is {\n\t\tx.mu.Lock()\n\t}\n\tx.b.lock()\n}\n\nfunc (x *b) g() { x.mu.Lock(); defer x.mu.Unlock(); x.a.lock() }", true},
		"twice":                    {"func (x *a) f() { x.mu.Lock(); defer x.mu.Unlock(); x.lock() }", true},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(folder, "go.mod"), []byte("module p\n\ngo 1.26\n"), 0o600))
			require.NoError(t, os.WriteFile(filepath.Join(folder, "p.go"), []byte(types+c.source+"\n"), 0o600))
			g, err := rwlockorder.Load(folder, ".")
			require.NoError(t, err)
			require.Equal(t, c.cycle, len(g.Cycles()) > 0, "%v", g.Cycles())
		})
	}
}
