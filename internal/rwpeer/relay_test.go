package rwpeer

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwfeed"

	"github.com/stretchr/testify/require"
)

// TestRelaysThatLeft guards against notices that are lost for a whole zone, as the instance that
// was to relay them there has left long ago.
func TestRelaysThatLeft(t *testing.T) {
	const zones, each, losses = 3, 10, 50
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFleet(t, zones, each)
		var left rwfeed.Batch
		for n := range 10 * zones * each {
			m := Member{Name: fmt.Sprint("left-", n), Zone: fmt.Sprint("zone-", n%zones), NoticeAddress: fmt.Sprintf("10.200.%d.%d:9464", n/250, n%250)}
			spec, err := json.Marshal(m)
			require.NoError(t, err)
			left.Changes = append(left.Changes, rwfeed.Change{Name: m.Name, Revision: 2, Spec: spec})
		}
		f.connect()
		for _, x := range f.exchanges {
			x.AnnounceFull("i-0", rwbackend.Full{For: time.Second})
		}
		time.Sleep(time.Second)
		for _, x := range f.exchanges {
			x.Members.Apply(left)
		}
		sender, receivers := f.exchanges[0], f.exchanges[each:]
		before := f.receivedBy(receivers)
		for range losses {
			sender.AnnounceFull("i-0", rwbackend.Full{For: time.Second})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Greater(t, f.receivedBy(receivers)-before, losses*len(receivers)*3/4, "datagrams of %d notices at %d instances", losses, len(receivers))
	})
}

// receivedBy returns how many datagrams some instances were sent.
func (f *fleet) receivedBy(all []*Exchange) int {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	count := 0
	for _, x := range all {
		count += len(f.network.received[x.Self])
	}
	return count
}
