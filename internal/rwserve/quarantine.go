package rwserve

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwmember"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/internal/rwpoison"
	"ragwortwall/internal/rwtime"
)

const (
	quarantineReadInterval  = 20 * time.Second
	quarantineWriteAttempts = 5
	quarantineRetryDelay    = 2 * time.Second
)

// quarantineSpec is the spec of an object of kind rwobject.KindQuarantine.
type quarantineSpec struct {
	Fingerprint uint64   `json:"fingerprint"`
	Servers     []string `json:"servers"`
	Losses      []string `json:"losses,omitempty"`
	Unproved    bool     `json:"unproved,omitempty"` // rejected for its losses, not known to crash servers
}

// saveQuarantine writes a quarantine to the platform, so that it survives the
// replacement of all instances. An existing quarantine is left unchanged.
func (i *Instance) saveQuarantine(s rwpoison.Suspicion) {
	o := rwobject.New(rwobject.KindQuarantine, fmt.Sprintf("%016x", uint64(s.Fingerprint)),
		quarantineSpec{Fingerprint: uint64(s.Fingerprint), Servers: s.Servers, Losses: s.Losses, Unproved: !s.Quarantined})
	for range quarantineWriteAttempts {
		ctx, cancel := context.WithTimeout(i.baseCtx, platformTimeout)
		_, err := rwplatform.WriteConditionally(ctx, i.platform, o)
		cancel()
		if err == nil || rwerror.Is(err, rwerror.KindConflict) {
			return
		}
		if !rwtime.Sleep(i.baseCtx, quarantineRetryDelay) {
			return
		}
	}
	i.Log.Info("failed to write quarantine to the platform", "fingerprint", uint64(s.Fingerprint))
}

// quarantineLoop reads the quarantines from the platform every
// quarantineReadInterval, and after an error every quarantineRetryDelay.
func (i *Instance) quarantineLoop(ctx context.Context) {
	for {
		delay := quarantineReadInterval
		if i.readQuarantines(ctx) != nil {
			delay = quarantineRetryDelay
		}
		if !rwtime.Sleep(ctx, delay) {
			return
		}
	}
}

// readQuarantines merges the quarantines stored at the platform into the registry.
// One instance, chosen by rendezvous hashing, also deletes the expired ones.
func (i *Instance) readQuarantines(ctx context.Context) error {
	objects, _, err := i.platform.List(ctx, rwobject.KindQuarantine)
	if err != nil {
		return err
	}
	deletesExpired := rwmember.First(rwmember.Key(string(rwobject.KindQuarantine)), i.view.Live()) == i.Config.Name
	for _, o := range objects {
		var spec quarantineSpec
		if json.Unmarshal(o.Spec, &spec) != nil {
			continue
		}
		s := rwpoison.Suspicion{Fingerprint: rwpoison.Fingerprint(spec.Fingerprint), Servers: spec.Servers, Losses: spec.Losses, Quarantined: !spec.Unproved}
		if time.Since(o.Metadata.CreationTimestamp.Time) <= s.Life() {
			i.suspicions.Merge(s)
		} else if deletesExpired {
			_ = i.platform.Delete(ctx, o) // retried at the next read
		}
	}
	return nil
}
