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

// Store is the part of the platform's API that WriteConditionally needs.
type Store interface {
	Get(ctx context.Context, kind rwobject.Kind, name string) (rwobject.Object, error)
	Create(ctx context.Context, o rwobject.Object) (rwobject.Object, error)
	Update(ctx context.Context, o rwobject.Object) (rwobject.Object, error)
}

const readBackRetryInterval = 50 * time.Millisecond

// WriteConditionally creates an object that has no resourceVersion. It updates any
// other object on the condition that the stored resourceVersion is still the same.
// It finds out whether the write took effect even if the platform's response is lost.
//
// If another writer changed the object first, WriteConditionally returns the object
// as it is now and an error of kind conflict. An error with Ran unknown means that
// ctx ended before the outcome was known.
func WriteConditionally(ctx context.Context, store Store, o rwobject.Object) (rwobject.Object, error) {
	o = o.WithNonce(uuid.NewString())
	for {
		written, err := createOrUpdate(ctx, store, o)
		if err == nil {
			return written, nil
		}
		if !isOutcomeUnknown(err) && !rwerror.Is(err, rwerror.KindConflict) {
			return rwobject.Object{}, err
		}
		// A conflict may come from an earlier attempt of this write whose response was lost.
		current, found, readErr := readBack(ctx, store, o)
		if readErr != nil {
			return rwobject.Object{}, errors.Trace(rwerror.As(err).WithRan(rwerror.RanUnknown))
		}
		if found && current.Nonce() == o.Nonce() {
			return current, nil
		}
		if !isOutcomeUnknown(err) || !isUnchanged(o, current, found) {
			return current, rwerror.New(rwerror.KindConflict, "read the current value and decide again",
				"another writer changed %s %s first", o.Kind, o.Metadata.Name)
		}
	}
}

func createOrUpdate(ctx context.Context, store Store, o rwobject.Object) (rwobject.Object, error) {
	if o.Metadata.ResourceVersion == "" {
		return store.Create(ctx, o)
	}
	return store.Update(ctx, o)
}

func isOutcomeUnknown(err error) bool {
	return rwerror.Is(err, rwerror.KindUnavailable)
}

// readBack reads the object until the platform responds or ctx ends. It reports
// whether the object exists. The read alone does not decide the outcome, because
// a write without a response may still reach the platform: WriteConditionally
// repeats the same write if the object is unchanged.
func readBack(ctx context.Context, store Store, o rwobject.Object) (rwobject.Object, bool, error) {
	for {
		current, err := store.Get(ctx, rwobject.Kind(o.Kind), o.Metadata.Name)
		if err == nil {
			return current, true, nil
		}
		if rwerror.Is(err, rwerror.KindNotFound) {
			return current, false, nil
		}
		if !rwtime.Sleep(ctx, readBackRetryInterval) {
			return current, false, ctx.Err()
		}
	}
}

// isUnchanged reports whether current is still in the state on which the write of
// o depends.
func isUnchanged(o, current rwobject.Object, found bool) bool {
	if o.Metadata.ResourceVersion == "" {
		return !found
	}
	return found && current.Metadata.ResourceVersion == o.Metadata.ResourceVersion
}
