package rwsettings

import (
	"context"

	"ragwortwall/internal/rwobject"
	"ragwortwall/pkg/rwset"
)

// restoreLost writes those settings in force again that a list of the platform lacks or has
// in an older revision.
func (f *Follower) restoreLost(ctx context.Context, listed []rwobject.Object) {
	stored := map[string]rwobject.Object{}
	for _, o := range listed {
		stored[o.Metadata.Name] = o
		f.setDeleted(o.Metadata.Name, false)
	}
	for _, name := range f.Tree().Names() {
		if f.isLost(name, stored[name]) {
			f.restore(ctx, name)
		}
	}
}

// isLost reports whether the platform may have lost the settings in force: it has an older
// revision, or the zero Object stands for none.
func (f *Follower) isLost(name string, stored rwobject.Object) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	missing := stored.Metadata.Name == ""
	if missing {
		return !f.deleted.Has(name)
	}
	return stored.Revision().Before(f.Tree().Revision(name))
}

// restore writes an object in force again unless the platform has it. The list or event
// that gave the reason may have been outdated, so the Restorer reads the object first.
func (f *Follower) restore(ctx context.Context, name string) {
	o, ok := f.Tree().Object(name)
	if !ok || f.Restorer == nil {
		return
	}
	restored, err := f.Restorer.Restore(ctx, o)
	switch {
	case err != nil:
		f.Log.Error(err, "cannot restore settings that the platform lost; trying again after the next list", "subtree", name, "generation", o.Generation())
	case restored.Metadata.Name != "":
		f.restored.Add(1)
		f.Log.Info("settings restored that the platform had lost", "subtree", name, "generation", restored.Generation(), "stored", restored.Metadata.Generation)
	}
}

// Restored returns how many times this instance has written settings again that the platform
// had lost.
func (f *Follower) Restored() int64 { return f.restored.Load() }

// setDeleted records whether an object was deleted at the platform.
func (f *Follower) setDeleted(name string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.deleted == nil {
		f.deleted = rwset.New[string]()
	}
	if deleted {
		f.deleted.Add(name)
	} else {
		f.deleted.Remove(name)
	}
}
