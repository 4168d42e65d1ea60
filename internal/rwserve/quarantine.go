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

// The times of quarantines at the platform.
const (
	quarantineRead  = 20 * time.Second
	quarantineTries = 5
	quarantinePause = 2 * time.Second
)

// quarantined is the spec of an object of kind quarantine.
type quarantined struct {
	Fingerprint uint64   `json:"fingerprint"`
	Servers     []string `json:"servers"`
}

// saveQuarantine writes a quarantine to the platform, so that it outlives the
// replacement of all instances. A quarantine that is there already stays.
func (i *Instance) saveQuarantine(s rwpoison.Suspicion) {
	o := rwobject.New(rwobject.KindQuarantine, fmt.Sprintf("%016x", uint64(s.Fingerprint)),
		quarantined{Fingerprint: uint64(s.Fingerprint), Servers: s.Servers})
	for range quarantineTries {
		ctx, cancel := context.WithTimeout(i.life, platformTimeout)
		_, err := rwplatform.Apply(ctx, i.platform, o)
		cancel()
		if err == nil || rwerror.Is(err, rwerror.KindConflict) {
			return
		}
		if !rwtime.Sleep(i.life, quarantinePause) {
			return
		}
	}
	i.Log.Info("quarantine not written to the platform", "fingerprint", uint64(s.Fingerprint))
}

// quarantineLoop reads the platform's quarantines from time to time.
func (i *Instance) quarantineLoop(ctx context.Context) {
	for {
		wait := quarantineRead
		if i.readQuarantines(ctx) != nil {
			wait = quarantinePause
		}
		if !rwtime.Sleep(ctx, wait) {
			return
		}
	}
}

func (i *Instance) readQuarantines(ctx context.Context) error {
	objects, _, err := i.platform.List(ctx, rwobject.KindQuarantine)
	if err != nil {
		return err
	}
	cleans := rwmember.First(rwmember.Key(string(rwobject.KindQuarantine)), i.view.Live()) == i.Config.Name
	for _, o := range objects {
		if time.Since(o.Metadata.CreationTimestamp.Time) > rwpoison.QuarantineLife {
			if cleans {
				_ = i.platform.Delete(ctx, o) // tried again at the next reading
			}
			continue
		}
		var q quarantined
		if json.Unmarshal(o.Spec, &q) == nil {
			i.book.Merge(rwpoison.Suspicion{Fingerprint: rwpoison.Fingerprint(q.Fingerprint), Servers: q.Servers, Quarantined: true})
		}
	}
	return nil
}
