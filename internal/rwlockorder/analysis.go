package rwlockorder

import (
	"maps"

	"ragwortwall/pkg/rwset"

	"golang.org/x/tools/go/callgraph"
	"golang.org/x/tools/go/callgraph/cha"
	"golang.org/x/tools/go/callgraph/vta"
	"golang.org/x/tools/go/ssa"
	"golang.org/x/tools/go/ssa/ssautil"
)

// analysis is what is known of a program's functions.
type analysis struct {
	program   *ssa.Program
	functions map[*ssa.Function]bool
	callees   map[ssa.CallInstruction][]*ssa.Function
	locks     map[*ssa.Function]map[Lock]string // what a call of the function may lock, and the function that does
}

func newAnalysis(program *ssa.Program) *analysis {
	functions := ssautil.AllFunctions(program)
	a := &analysis{program: program, functions: functions, callees: map[ssa.CallInstruction][]*ssa.Function{}, locks: map[*ssa.Function]map[Lock]string{}}
	a.recordCallees(vta.CallGraph(functions, cha.CallGraph(program)))
	for f := range functions {
		a.locks[f] = map[Lock]string{}
	}
	for changed := true; changed; {
		changed = false
		for f := range functions {
			changed = a.collectLocks(f) || changed
		}
	}
	return a
}

func (a *analysis) recordCallees(calls *callgraph.Graph) {
	for _, node := range calls.Nodes {
		for _, edge := range node.Out {
			a.callees[edge.Site] = append(a.callees[edge.Site], edge.Callee.Func)
		}
	}
}

// synchronousCall returns the call that an instruction makes in the same goroutine.
func synchronousCall(i ssa.Instruction) (ssa.CallInstruction, bool) {
	if _, concurrent := i.(*ssa.Go); concurrent {
		return nil, false
	}
	call, ok := i.(ssa.CallInstruction)
	return call, ok
}

// collectLocks adds to the locks of a function those of its callees, and reports whether there
// were new ones.
func (a *analysis) collectLocks(f *ssa.Function) bool {
	before := len(a.locks[f])
	for _, block := range f.Blocks {
		for _, i := range block.Instrs {
			call, ok := synchronousCall(i)
			if !ok {
				continue
			}
			if l, locks, ok := lockCall(call.Common()); ok && locks {
				a.locks[f][l] = f.String()
			}
			for _, callee := range a.callees[call] {
				for l, via := range a.locks[callee] {
					if _, known := a.locks[f][l]; !known {
						a.locks[f][l] = via
					}
				}
			}
		}
	}
	return len(a.locks[f]) > before
}

// addEdges adds what a function locks while it holds other mutexes. A deferred unlock counts
// at the end of the function.
func (a *analysis) addEdges(g *Graph, f *ssa.Function) {
	if len(f.Blocks) == 0 {
		return
	}
	heldAt := make([]rwset.Set[Lock], len(f.Blocks)) // at the begin of each block
	heldAt[0] = rwset.New[Lock]()
	for pending := []*ssa.BasicBlock{f.Blocks[0]}; len(pending) > 0; {
		block := pending[0]
		pending = pending[1:]
		held := maps.Clone(heldAt[block.Index])
		for _, i := range block.Instrs {
			a.step(g, f, i, held)
		}
		for _, next := range block.Succs {
			before := len(heldAt[next.Index])
			known := heldAt[next.Index] != nil
			if !known {
				heldAt[next.Index] = rwset.New[Lock]()
			}
			maps.Copy(heldAt[next.Index], held)
			if !known || len(heldAt[next.Index]) > before {
				pending = append(pending, next)
			}
		}
	}
}

// step applies an instruction to the mutexes that are held, and adds what it locks.
func (a *analysis) step(g *Graph, f *ssa.Function, i ssa.Instruction, held rwset.Set[Lock]) {
	call, ok := synchronousCall(i)
	if !ok {
		return
	}
	position := a.program.Fset.Position(i.Pos()).String()
	if l, locks, ok := lockCall(call.Common()); ok {
		_, deferred := i.(*ssa.Defer)
		switch {
		case locks:
			for h := range held {
				g.add(Edge{Held: h, Locked: l, Position: position, Via: f.String()})
			}
			held.Add(l)
		case !deferred:
			held.Remove(l)
		}
		return
	}
	for _, callee := range a.callees[call] {
		for l, via := range a.locks[callee] {
			for h := range held {
				g.add(Edge{Held: h, Locked: l, Position: position, Via: via})
			}
		}
	}
}
