package rwrelay_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwrelay"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", id, id*id) }

func TestEvents(t *testing.T) {
	t.Run("complete events", func(t *testing.T) {
		e := rwrelay.NewEvents(strings.NewReader("versions: 3\n" + event(1) + "\n" + event(2)))
		first, err := e.Next()
		require.NoError(t, err)
		require.Equal(t, "versions: 3\n"+event(1), string(first.Raw))
		second, err := e.Next()
		require.NoError(t, err)
		require.Equal(t, int64(2), second.ID)
		_, err = e.Next()
		require.ErrorIs(t, err, io.EOF)
	})
	t.Run("truncated event", func(t *testing.T) {
		e := rwrelay.NewEvents(strings.NewReader(event(1) + "id: 2\ndata: 4\n"))
		_, err := e.Next()
		require.NoError(t, err)
		_, err = e.Next()
		require.ErrorIs(t, err, rwrelay.ErrTruncated)
	})
	t.Run("long line", func(t *testing.T) {
		long := "id: 1\ndata: " + strings.Repeat("x", 5000) + "\n\n"
		got, err := rwrelay.NewEvents(strings.NewReader(long)).Next()
		require.NoError(t, err)
		require.Equal(t, long, string(got.Raw))
	})
}

// TestSequencerOverLosses checks that a caller receives each event once and in order if
// servers are lost and each further attempt starts at an earlier or a later event.
func TestSequencerOverLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequencer := rwrelay.NewSequencer(0, false)
		next := int64(1)
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			from := rapid.Int64Range(max(1, next-3), next+2).Draw(t, "from")
			for id := from; id < from+rapid.Int64Range(0, 8).Draw(t, "events"); id++ {
				verdict := sequencer.Judge(rwrelay.Event{ID: id, HasID: true})
				if verdict == rwrelay.VerdictGap {
					break
				}
				if verdict == rwrelay.VerdictPass && next > 1 {
					require.Equal(t, next, id)
				}
				if verdict == rwrelay.VerdictPass {
					next = id + 1
				}
			}
		}
	})
}

func TestSequencerResumed(t *testing.T) {
	sequencer := rwrelay.NewSequencer(5, true)
	require.Equal(t, rwrelay.VerdictDrop, sequencer.Judge(rwrelay.Event{ID: 5, HasID: true}))
	require.Equal(t, rwrelay.VerdictGap, sequencer.Judge(rwrelay.Event{ID: 7, HasID: true}))
	require.Equal(t, rwrelay.VerdictPass, sequencer.Judge(rwrelay.Event{ID: 6, HasID: true}))
	last, ok := sequencer.Last()
	require.True(t, ok)
	require.Equal(t, int64(6), last)
}

// detectorAfterEvents returns the detector of an attempt that has received 20 events, one
// per gap.
func detectorAfterEvents(gap time.Duration) *rwrelay.StallDetector {
	d := rwrelay.NewStallDetector(time.Second, 700*time.Millisecond)
	for range 20 {
		time.Sleep(gap)
		d.RecordEvent()
	}
	return d
}

func TestStallDetector(t *testing.T) {
	for name, check := range map[string]func(*testing.T){
		"probe after a few gaps of a fast stream": func(t *testing.T) {
			d := detectorAfterEvents(35 * time.Millisecond)
			step, delay := d.Judge(50 * time.Millisecond)
			require.Equal(t, rwrelay.StepWait, step)
			require.Equal(t, 70*time.Millisecond, delay)
			step, _ = d.Judge(130 * time.Millisecond)
			require.Equal(t, rwrelay.StepProbe, step)
		},
		// Events of eight tokens, delayed by the chunked prefill of another stream.
		"no probe during gaps due to the prefill of another stream": func(t *testing.T) {
			d := detectorAfterEvents(230 * time.Millisecond)
			step, _ := d.Judge(235 * time.Millisecond)
			require.Equal(t, rwrelay.StepWait, step)
			step, _ = d.Judge(400 * time.Millisecond)
			require.Equal(t, rwrelay.StepProbe, step)
		},
		// Each probe is a new connection: one gap is probed at most, not each of them.
		"no probe from the second long gap on": func(t *testing.T) {
			d := detectorAfterEvents(35 * time.Millisecond)
			time.Sleep(250 * time.Millisecond)
			d.RecordEvent()
			step, _ := d.Judge(270 * time.Millisecond)
			require.Equal(t, rwrelay.StepWait, step)
			step, _ = d.Judge(320 * time.Millisecond)
			require.Equal(t, rwrelay.StepProbe, step)
		},
		"probes of a stream before its first event go by its target": func(t *testing.T) {
			for target, interval := range map[time.Duration]time.Duration{0: 300 * time.Millisecond, 2 * time.Second: 300 * time.Millisecond, 10 * time.Second: 1250 * time.Millisecond} {
				d := rwrelay.NewStallDetector(2*time.Second, 0)
				d.TargetLatency = target
				step, wait := d.Judge(interval - time.Millisecond)
				require.Equal(t, rwrelay.StepWait, step)
				require.Equal(t, time.Millisecond, wait)
				step, _ = d.Judge(interval)
				require.Equal(t, rwrelay.StepProbe, step)
				require.Equal(t, time.Now().Add(-10*time.Millisecond), d.ProbeSince(interval+10*time.Millisecond))
			}
		},
		"a hung server is detected within the maximum event gap": func(t *testing.T) {
			d := detectorAfterEvents(230 * time.Millisecond)
			step, _ := d.Judge(570 * time.Millisecond)
			require.Equal(t, rwrelay.StepHung, step)
		},
		"timeout for the first event includes the expected prefill": func(t *testing.T) {
			d := rwrelay.NewStallDetector(2*time.Second, 0)
			step, _ := d.Judge(3 * time.Second)
			require.Equal(t, rwrelay.StepProbe, step)
			step, _ = d.Judge(7 * time.Second)
			require.Equal(t, rwrelay.StepHung, step)
		},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
}

// FuzzEvents checks that any input yields only complete events, each of them a part of
// the input and in its order.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{event(1) + event(2), "id: 1\ndata", "\n\n", "id: x\n\nid: 9999999999999999999\n\n", "data: \r\n\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		events := rwrelay.NewEvents(strings.NewReader(text))
		rest := text
		for {
			e, err := events.Next()
			if err != nil {
				return
			}
			i := strings.Index(rest, string(e.Raw))
			require.GreaterOrEqual(t, i, 0)
			rest = rest[i+len(e.Raw):]
		}
	})
}
