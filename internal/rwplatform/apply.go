package rwplatform

import (
	"context"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwtime"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// Store is the part of the platform's API that Apply needs.
type Store interface {
	Get(ctx context.Context, kind rwobject.Kind, name string) (rwobject.Object, error)
	Create(ctx context.Context, o rwobject.Object) (rwobject.Object, error)
	Update(ctx context.Context, o rwobject.Object) (rwobject.Object, error)
}

const readBackPause = 50 * time.Millisecond

// Apply writes an object conditionally and finds out whether the write took
// effect also when the platform's answer is lost. An object without a
// resourceVersion is created, any other updated. A conflict is final: another
// writer was first. An error with Ran unknown says that ctx ended before the
// outcome could be read.
func Apply(ctx context.Context, store Store, o rwobject.Object) (rwobject.Object, error) {
	o = o.WithNonce(uuid.NewString())
	for {
		made, err := write(ctx, store, o)
		if err == nil {
			return made, nil
		}
		if !ambiguous(err) && !rwerror.Is(err, rwerror.KindConflict) {
			return rwobject.Object{}, err
		}
		// A conflict may be with our own earlier write, whose answer was lost.
		current, found, readErr := readBack(ctx, store, o)
		if readErr != nil {
			return rwobject.Object{}, errors.Trace(rwerror.As(err).WithRan(rwerror.RanUnknown))
		}
		if found && current.Nonce() == o.Nonce() {
			return current, nil
		}
		if !ambiguous(err) || !unchanged(o, current, found) {
			return current, rwerror.New(rwerror.KindConflict, "read the current value and decide again",
				"another writer changed %s %s first", o.Kind, o.Metadata.Name)
		}
	}
}

func write(ctx context.Context, store Store, o rwobject.Object) (rwobject.Object, error) {
	if o.Metadata.ResourceVersion == "" {
		return store.Create(ctx, o)
	}
	return store.Update(ctx, o)
}

func ambiguous(err error) bool {
	return rwerror.Is(err, rwerror.KindUnavailable)
}

// readBack reads the object until the platform answers or ctx ends. The write
// that got no answer may still be on its way, so a repeat of the same
// conditional write, not the reading alone, settles what happened.
func readBack(ctx context.Context, store Store, o rwobject.Object) (rwobject.Object, bool, error) {
	for {
		current, err := store.Get(ctx, rwobject.Kind(o.Kind), o.Metadata.Name)
		if err == nil {
			return current, true, nil
		}
		if rwerror.Is(err, rwerror.KindNotFound) {
			return current, false, nil
		}
		if !rwtime.Sleep(ctx, readBackPause) {
			return current, false, ctx.Err()
		}
	}
}

func unchanged(o, current rwobject.Object, found bool) bool {
	if o.Metadata.ResourceVersion == "" {
		return !found
	}
	return found && current.Metadata.ResourceVersion == o.Metadata.ResourceVersion
}
