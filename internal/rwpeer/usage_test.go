package rwpeer

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwusage"

	"github.com/stretchr/testify/require"
)

// usageRecorder records what is received.
type usageRecorder struct {
	mu       sync.Mutex
	messages []rwusage.Message
	from     []string
	answers  []rwusage.Answer
}

func (u *usageRecorder) Receive(from string, _ int64, m rwusage.Message) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.messages, u.from = append(u.messages, m), append(u.from, from)
}

func (u *usageRecorder) ReceiveAnswer(_ string, a rwusage.Answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers = append(u.answers, a)
}

// TestUsageNotices guards against sums and answers that don't arrive as they were sent, and against
// an instance without the duty that fails on them.
func TestUsageNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFleet(t, 1, 3)
		f.connect()
		received := &usageRecorder{}
		f.exchanges[1].Usage = received
		m := rwusage.Message{Origin: "entry-0-2", Life: 3, Sums: map[int64]map[string]int64{353445120: {"huka270": 412}}, Clock: 5, Unset: true}
		a := rwusage.Answer{Fence: 12, Echo: 5, Now: 6, Closed: 7, Reported: 6, Deputies: []string{"entry-0-2"}}
		const copies = 5 // some are lost
		for range copies {
			f.exchanges[0].SendUsage([]string{"entry-0-1", "entry-0-2", "gone"}, m)
			f.exchanges[0].AnswerUsage("entry-0-1", a)
		}
		time.Sleep(time.Second)
		received.mu.Lock()
		defer received.mu.Unlock()
		require.Contains(t, received.messages, m)
		require.Equal(t, "entry-0-0", received.from[0])
		require.Contains(t, received.answers, a)
	})
}

// TestUsageRank guards against instances that send their sums to different deputies.
func TestUsageRank(t *testing.T) {
	f := newMemoryFleet(t, 3, 3)
	rank := f.exchanges[0].UsageRank()
	require.Len(t, rank, 9)
	for _, x := range f.exchanges {
		require.Equal(t, rank, x.UsageRank())
	}
}

// TestUsageFits guards against sums that are not sent because they exceed a datagram: 1,000 bytes
// of sums with all other fields at their longest.
func TestUsageFits(t *testing.T) {
	name := strings.Repeat("n", 60)
	n := Notice{From: name, Incarnation: 1 << 62, Usage: &rwusage.Message{
		Origin: name, Life: 1 << 62, Clock: 1 << 62, Unset: true, Sums: map[int64]map[string]int64{353445120: {strings.Repeat("x", 978): 1}},
	}}
	content, err := json.Marshal(n)
	require.NoError(t, err)
	require.LessOrEqual(t, len(content), maxNoticeBytes)
}
