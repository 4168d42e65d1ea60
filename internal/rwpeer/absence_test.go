package rwpeer_test

import (
	"fmt"
	"testing"
	"time"

	"ragwortwall/internal/rwfeed"
	"ragwortwall/internal/rwpeer"

	"github.com/stretchr/testify/require"
)

const probeInterval = 5 * time.Second

// absenceWorld plays the list and the instances for one instance that removes entries.
type absenceWorld struct {
	absence rwpeer.Absence
	now     time.Time
	list    map[string]rwpeer.Listed
	there   map[string]bool      // answers probes
	heard   map[string]time.Time // by name
	removed []string
}

func newAbsenceWorld(names ...string) *absenceWorld {
	w := &absenceWorld{now: time.Unix(1000, 0), list: map[string]rwpeer.Listed{}, there: map[string]bool{}, heard: map[string]time.Time{}}
	for _, name := range names {
		w.write(name, 1)
	}
	return w
}

func (w *absenceWorld) write(name string, revision int64) {
	w.list[name] = rwpeer.Listed{Member: rwpeer.Member{Name: name, PeerAddress: "10.0.0.1:1", Renews: true}, Position: rwfeed.Position{Revision: revision}}
}

// play runs the rounds of a time, with a word of the named instances in each.
func (w *absenceWorld) play(d time.Duration, heard ...string) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(probeInterval) {
		for _, name := range heard {
			w.heard[name] = w.now
		}
		var list []rwpeer.Listed
		for _, l := range w.list {
			list = append(list, l)
		}
		probed := w.absence.Update(list, func(name string) time.Time { return w.heard[name] }, w.now)
		for _, l := range probed {
			w.absence.Probed(l.Name, w.there[l.Name], w.now)
		}
		for _, gone := range w.absence.Gone(probed) {
			if w.list[gone.Name].Position == gone.Position {
				delete(w.list, gone.Name)
			}
			w.absence.Removed(gone.Name)
			w.removed = append(w.removed, gone.Name)
		}
	}
}

// TestAbsence checks whose entries are removed, and when.
func TestAbsence(t *testing.T) {
	const silence = time.Minute
	t.Run("one that left", func(t *testing.T) {
		w := newAbsenceWorld("left", "live")
		w.play(silence, "live")
		require.Empty(t, w.removed)
		w.play(4*probeInterval, "live")
		require.Equal(t, []string{"left"}, w.removed)
	})
	t.Run("one that says nothing, but answers", func(t *testing.T) {
		w := newAbsenceWorld("idle", "live")
		w.there["idle"] = true
		w.play(time.Hour, "live")
		require.Empty(t, w.removed)
	})
	t.Run("one that was suspended for less", func(t *testing.T) {
		w := newAbsenceWorld("suspended", "live")
		w.play(silence+2*probeInterval, "live")
		w.there["suspended"] = true
		w.play(probeInterval, "live")
		w.there["suspended"] = false
		w.play(silence, "live")
		require.Empty(t, w.removed, "misses must be in a row, after the silence")
	})
	t.Run("this one reaches nobody", func(t *testing.T) {
		w := newAbsenceWorld("a", "b")
		w.play(5 * silence)
		require.Empty(t, w.removed, "it may be cut off itself")
		w.play(6 * silence)
		require.ElementsMatch(t, []string{"a", "b"}, w.removed)
	})
	t.Run("one of a former build", func(t *testing.T) {
		w := newAbsenceWorld("former", "live")
		former := w.list["former"]
		former.Renews = false
		w.list["former"] = former
		w.play(9*silence, "live")
		require.Empty(t, w.removed, "it doesn't write its entry again")
		w.play(2*silence, "live")
		require.Equal(t, []string{"former"}, w.removed)
	})
	t.Run("one without an address", func(t *testing.T) {
		w := newAbsenceWorld("mute", "live")
		w.list["mute"] = rwpeer.Listed{Member: rwpeer.Member{Name: "mute", Renews: true}}
		w.play(time.Hour, "live")
		require.Empty(t, w.removed)
	})
	t.Run("a new one of the same name", func(t *testing.T) {
		w := newAbsenceWorld("name", "live")
		w.play(silence+2*probeInterval, "live")
		w.write("name", 2)
		w.play(silence, "live")
		require.Empty(t, w.removed, "the silence counts from its entry on")
		require.Equal(t, int64(2), w.list["name"].Position.Revision)
	})
	t.Run("one that is cut off and comes back each time", func(t *testing.T) {
		w := newAbsenceWorld("cut", "live")
		var revision int64 = 1
		start, last := w.now, 0
		for w.now.Sub(start) < 2*time.Hour {
			w.play(probeInterval, "live")
			if len(w.removed) > last {
				last = len(w.removed)
				revision++
				w.write("cut", revision)
			}
		}
		require.LessOrEqual(t, last, 8, "removals in two hours")
		require.Contains(t, w.list, "cut")
	})
	t.Run("thousands that left", func(t *testing.T) {
		names := []string{"live"}
		for n := range 3000 {
			names = append(names, fmt.Sprint("left-", n))
		}
		w := newAbsenceWorld(names...)
		w.play(silence+time.Minute, "live")
		require.NotEmpty(t, w.removed)
		require.LessOrEqual(t, len(w.removed), 4*13, "writes of one instance")
		w.play(90*time.Minute, "live")
		require.Len(t, w.list, 1)
	})
}
