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

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

// maxEarlierVersions is the maximum number of earlier specs that an object's status holds.
const maxEarlierVersions = 5

// restoreAuthor is the author in the history of settings that the platform had lost and an
// instance wrote again. Their operator's name is only in the history that was lost.
const restoreAuthor = "restored"

// Settings gives access to the settings tree in force at this instance.
type Settings interface {
	Tree() rwtree.Tree
	ApplyNewer(objects ...rwobject.Object) []rwobject.Object
	Push(ctx context.Context, objects ...rwobject.Object)
	FetchFromPeers(ctx context.Context)
}

// Editor applies operators' changes. Set the fields before first use.
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

// history is the status of a settings object: who wrote the current spec and when,
// and the earlier specs, newest first.
type history struct {
	Author  string    `json:"author"` // of the current spec
	At      time.Time `json:"at"`
	Earlier []Version `json:"earlier,omitempty"`
}

// Change is an operator's request to replace the spec of a subtree.
type Change struct {
	Name       string          // the subtree's name
	Spec       json.RawMessage // the whole new spec
	Generation int64           // the generation that the change is based on; zero for a new subtree
	Author     string          // the operator's name
}

// Put validates a change, writes it to the platform, applies it at this instance
// and pushes it to the others. It returns the stored object. A change that is based
// on another generation than the current one is an error of kind conflict.
//
// Current is what the platform has, or what is in force if that is newer: the platform
// may have come back from an older copy.
func (e *Editor) Put(ctx context.Context, c Change) (rwobject.Object, error) {
	e.Settings.FetchFromPeers(ctx)
	for restored := false; ; restored = true {
		stored, err := e.putOnce(ctx, c)
		// An instance may restore the generation that the change is based on at the same time.
		if !rwerror.Is(err, rwerror.KindConflict) || restored || stored.Generation() != c.Generation {
			return stored, err
		}
	}
}

// putOnce does the work of Put for one reading of the platform's object. With an error of kind
// conflict it returns the current object.
func (e *Editor) putOnce(ctx context.Context, c Change) (rwobject.Object, error) {
	current, err := e.readCurrent(ctx, c.Name)
	if err != nil {
		return rwobject.Object{}, err
	}
	if inForce, ok := e.Settings.Tree().Object(c.Name); ok && current.Revision().Before(inForce.Revision()) {
		current = e.replace(current, inForce.Spec, inForce.Generation(), restoreAuthor)
	}
	if current.Generation() != c.Generation {
		return current, conflictError(current, c)
	}
	if err := e.validate(c); err != nil {
		return rwobject.Object{}, err
	}
	next := e.replace(current, c.Spec, current.Generation()+1, c.Author)
	stored, err := rwplatform.WriteConditionally(ctx, e.Store, next)
	if rwerror.Is(err, rwerror.KindConflict) {
		return stored, conflictError(stored, c)
	}
	if err != nil {
		return rwobject.Object{}, err
	}
	e.Settings.ApplyNewer(stored)
	e.Settings.Push(ctx, stored)
	return stored, nil
}

// readCurrent reads a subtree's object. It returns an empty object if there is none.
func (e *Editor) readCurrent(ctx context.Context, name string) (rwobject.Object, error) {
	o, err := e.Store.Get(ctx, rwobject.KindSettings, name)
	if rwerror.Is(err, rwerror.KindNotFound) {
		return rwobject.New(rwobject.KindSettings, name, struct{}{}), nil
	}
	return o, err
}

// conflictError returns the error for a change that is based on another generation
// than the current one. It contains the current spec.
func conflictError(current rwobject.Object, c Change) error {
	return rwerror.New(rwerror.KindConflict, "read the subtree again, apply your change to it, and put it with the generation that you read",
		"%s has generation %d, not %d; its current spec is: %s", c.Name, current.Generation(), c.Generation, current.Spec)
}

// Restore writes an object in force to the platform if that has an older revision or none.
// It returns the object as stored, or without an error the zero Object if there was
// nothing to restore.
func (e *Editor) Restore(ctx context.Context, inForce rwobject.Object) (rwobject.Object, error) {
	stored, err := e.readCurrent(ctx, inForce.Metadata.Name)
	if err != nil || !stored.Revision().Before(inForce.Revision()) {
		return rwobject.Object{}, err
	}
	restored, err := rwplatform.WriteConditionally(ctx, e.Store, e.replace(stored, inForce.Spec, inForce.Generation(), restoreAuthor))
	if rwerror.Is(err, rwerror.KindConflict) {
		return rwobject.Object{}, nil // another writer was first; the next list shows whether it restored the object
	}
	return restored, err
}

// validate checks the tree that a change results in.
func (e *Editor) validate(c Change) error {
	tree, err := e.Settings.Tree().With(rwobject.Object{Metadata: metav1.ObjectMeta{Name: c.Name}, Spec: c.Spec})
	if err != nil {
		return err
	}
	return tree.CheckUniqueKeys()
}

// replace returns the object with another spec and generation, and with its own spec added
// to its history.
func (e *Editor) replace(o rwobject.Object, spec json.RawMessage, generation int64, author string) rwobject.Object {
	h := e.decodeHistory(o)
	if o.Generation() > 0 {
		earlier := Version{Generation: o.Generation(), At: h.At, Operator: h.Author, Spec: o.Spec}
		h.Earlier = append([]Version{earlier}, h.Earlier...)
	}
	h.Earlier = h.Earlier[:min(maxEarlierVersions, len(h.Earlier))]
	h.Author = author
	h.At = time.Now().UTC()
	o.Spec = spec
	return o.WithGeneration(generation).WithStatus(h)
}

func (e *Editor) decodeHistory(o rwobject.Object) history {
	var h history
	_ = json.Unmarshal(o.Status, &h) // an object without a status has an empty history
	return h
}

// History returns the current spec of a subtree and the earlier ones, newest
// first.
func (e *Editor) History(ctx context.Context, name string) ([]Version, error) {
	o, err := e.Store.Get(ctx, rwobject.KindSettings, name)
	if err != nil {
		return nil, err
	}
	h := e.decodeHistory(o)
	current := Version{Generation: o.Generation(), At: h.At, Operator: h.Author, Spec: o.Spec}
	return append([]Version{current}, h.Earlier...), nil
}

// Rollback puts an earlier spec again, as a new generation: generations only grow.
// It returns an error of kind notfound unless the history has the generation to roll
// back to and its spec differs from the current one.
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
		"%s has no earlier generation %d to roll back to", name, to)
}
