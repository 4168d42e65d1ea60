package rwoperate

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/internal/rwtree"
)

// historyKept is how many earlier specs an object keeps in its status.
const historyKept = 5

// Settings is the tree in force at this instance.
type Settings interface {
	Tree() rwtree.Tree
	Offer(objects ...rwobject.Object) []rwobject.Object
	Push(ctx context.Context, objects ...rwobject.Object)
}

// Editor accepts changes. Set the fields before first use.
type Editor struct {
	Store    rwplatform.Store
	Settings Settings
}

// Version is an earlier or current spec of a subtree.
type Version struct {
	Generation int64           `json:"generation"`
	At         time.Time       `json:"at"`
	Operator   string          `json:"operator"`
	Spec       json.RawMessage `json:"spec"`
}

// history is the status of a settings object.
type history struct {
	Author  string    `json:"author"` // of the current spec
	At      time.Time `json:"at"`
	Earlier []Version `json:"earlier,omitempty"`
}

// Change is a change that an operator asks for.
type Change struct {
	Name       string          // of the subtree
	Spec       json.RawMessage // the whole new spec
	Generation int64           // what the operator saw; zero for a new subtree
	Author     string
}

// Put accepts a change, or refuses it with the remedy. It returns the object that
// is now at the platform, which this instance has in force already.
func (e *Editor) Put(ctx context.Context, c Change) (rwobject.Object, error) {
	current, err := e.current(ctx, c.Name)
	if err != nil {
		return rwobject.Object{}, err
	}
	if current.Metadata.Generation != c.Generation {
		return rwobject.Object{}, conflict(current, c)
	}
	next, err := e.next(current, c)
	if err != nil {
		return rwobject.Object{}, err
	}
	made, err := rwplatform.Apply(ctx, e.Store, next)
	if rwerror.Is(err, rwerror.KindConflict) {
		return rwobject.Object{}, conflict(made, c)
	}
	if err != nil {
		return rwobject.Object{}, err
	}
	e.Settings.Offer(made)
	e.Settings.Push(ctx, made)
	return made, nil
}

// current reads a subtree's object; one that does not exist yet is empty.
func (e *Editor) current(ctx context.Context, name string) (rwobject.Object, error) {
	o, err := e.Store.Get(ctx, rwobject.KindSettings, name)
	if rwerror.Is(err, rwerror.KindNotFound) {
		return rwobject.New(rwobject.KindSettings, name, struct{}{}), nil
	}
	return o, err
}

// conflict tells the loser of a race what is there now.
func conflict(current rwobject.Object, c Change) error {
	return rwerror.New(rwerror.KindConflict, "get the subtree again, make your change on it, and put it with its generation",
		"%s has generation %d, not %d; it holds now: %s", c.Name, current.Metadata.Generation, c.Generation, current.Spec)
}

func (e *Editor) next(current rwobject.Object, c Change) (rwobject.Object, error) {
	next := current
	next.Spec = c.Spec
	tree, err := e.Settings.Tree().With(next)
	if err != nil {
		return next, err
	}
	if err := tree.CheckAcross(); err != nil {
		return next, err
	}
	h := e.history(current)
	if current.Metadata.Generation > 0 {
		earlier := Version{Generation: current.Metadata.Generation, At: h.At, Operator: h.Author, Spec: current.Spec}
		h.Earlier = append([]Version{earlier}, h.Earlier...)
	}
	h.Earlier = h.Earlier[:min(historyKept, len(h.Earlier))]
	h.Author = c.Author
	h.At = time.Now().UTC()
	return next.WithStatus(h), nil
}

func (e *Editor) history(o rwobject.Object) history {
	var h history
	_ = json.Unmarshal(o.Status, &h) // an object without history has none
	return h
}

// History returns the current spec of a subtree and the earlier ones, newest
// first.
func (e *Editor) History(ctx context.Context, name string) ([]Version, error) {
	o, err := e.Store.Get(ctx, rwobject.KindSettings, name)
	if err != nil {
		return nil, err
	}
	h := e.history(o)
	current := Version{Generation: o.Metadata.Generation, At: h.At, Operator: h.Author, Spec: o.Spec}
	return append([]Version{current}, h.Earlier...), nil
}

// Rollback puts an earlier spec as a new generation: a generation never comes
// back.
func (e *Editor) Rollback(ctx context.Context, name string, to int64, author string) (rwobject.Object, error) {
	versions, err := e.History(ctx, name)
	if err != nil {
		return rwobject.Object{}, err
	}
	for _, v := range versions {
		if v.Generation == to && !bytes.Equal(v.Spec, versions[0].Spec) {
			return e.Put(ctx, Change{Name: name, Spec: v.Spec, Generation: versions[0].Generation, Author: author})
		}
	}
	return rwobject.Object{}, rwerror.New(rwerror.KindNotFound, "choose a generation that the history lists and that differs from the current one",
		"%s has no generation %d to go back to", name, to)
}
