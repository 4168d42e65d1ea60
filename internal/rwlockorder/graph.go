package rwlockorder

import (
	"fmt"
	"go/types"
	"maps"
	"slices"

	"ragwortwall/pkg/rwset"

	"github.com/juju/errors"
	"golang.org/x/tools/go/packages"
	"golang.org/x/tools/go/ssa"
	"golang.org/x/tools/go/ssa/ssautil"
)

// Lock names a mutex by the type that has it and the field.
type Lock string

// Edge tells that a mutex may be locked while another one is held.
type Edge struct {
	Held, Locked Lock
	Position     string // of the call or lock in the source
	Via          string // function that locks
}

// String describes the edge in one line.
func (e Edge) String() string {
	return fmt.Sprintf("%s is locked by %s while %s is held: %s", e.Locked, e.Via, e.Held, e.Position)
}

// Graph holds the orders in which mutexes are locked.
type Graph struct {
	edges map[Lock]map[Lock]Edge // by the mutex held and the one locked
}

// Load returns the graph of the packages in a folder that match the patterns, as for the go
// command.
func Load(folder string, patterns ...string) (*Graph, error) {
	pkgs, err := packages.Load(&packages.Config{
		Dir:  folder,
		Mode: packages.NeedName | packages.NeedFiles | packages.NeedCompiledGoFiles | packages.NeedImports | packages.NeedTypes | packages.NeedTypesSizes | packages.NeedSyntax | packages.NeedTypesInfo,
	}, patterns...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, p := range pkgs {
		if len(p.Errors) > 0 {
			return nil, errors.Annotatef(p.Errors[0], "cannot load package %s", p.PkgPath)
		}
	}
	program, _ := ssautil.Packages(pkgs, ssa.InstantiateGenerics)
	program.Build()
	a := newAnalysis(program)
	g := &Graph{edges: map[Lock]map[Lock]Edge{}}
	for f := range a.functions {
		a.addEdges(g, f)
	}
	return g, nil
}

func (g *Graph) add(e Edge) {
	if g.edges[e.Held] == nil {
		g.edges[e.Held] = map[Lock]Edge{}
	}
	if _, known := g.edges[e.Held][e.Locked]; !known {
		g.edges[e.Held][e.Locked] = e
	}
}

// Locks returns how many mutexes are held while another one is locked.
func (g *Graph) Locks() int { return len(g.edges) }

// Cycles returns the edges that are part of a cycle, in the order of their locks.
func (g *Graph) Cycles() []Edge {
	var found []Edge
	for _, held := range slices.Sorted(maps.Keys(g.edges)) {
		for _, locked := range slices.Sorted(maps.Keys(g.edges[held])) {
			if held == locked || g.reachable(locked).Has(held) {
				found = append(found, g.edges[held][locked])
			}
		}
	}
	return found
}

// reachable returns the mutexes that may be locked, directly or not, while one is held.
func (g *Graph) reachable(from Lock) rwset.Set[Lock] {
	seen, pending := rwset.New[Lock](), []Lock{from}
	for len(pending) > 0 {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for next := range g.edges[last] {
			if !seen.Has(next) {
				seen.Add(next)
				pending = append(pending, next)
			}
		}
	}
	return seen
}

// lockCall returns the mutex on which a call locks or unlocks. ok is false for other calls.
func lockCall(c *ssa.CallCommon) (l Lock, locks, ok bool) {
	f := c.StaticCallee()
	if f == nil || f.Pkg == nil || f.Pkg.Pkg.Path() != "sync" || len(c.Args) == 0 {
		return "", false, false
	}
	switch f.Name() {
	case "Lock", "RLock":
		return lockName(c.Args[0]), true, true
	case "Unlock", "RUnlock":
		return lockName(c.Args[0]), false, true
	}
	return "", false, false
}

// lockName names the mutex that a value points to.
func lockName(v ssa.Value) Lock {
	field, ok := v.(*ssa.FieldAddr)
	if !ok {
		return Lock(fmt.Sprintf("%s of %s", v.Name(), v.Parent()))
	}
	owner := types.Unalias(field.X.Type()).Underlying().(*types.Pointer).Elem()
	return Lock(fmt.Sprintf("%s.%s", owner, owner.Underlying().(*types.Struct).Field(field.Field).Name()))
}
