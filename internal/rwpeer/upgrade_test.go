package rwpeer

import (
	"encoding/json"
	"net/netip"
	"testing"

	"ragwortwall/internal/rwbackend"

	"github.com/stretchr/testify/require"
)

// TestRelayKeepsUnknownFields guards against instances that don't get what a later build says
// because an earlier one relays it: at any depth, with runs as with suspicions.
func TestRelayKeepsUnknownFields(t *testing.T) {
	for name, part := range map[string]string{
		"top":           `"later":{"x":[1,2.50,"a"]}`,
		"evidence":      `"moves":{"orders":{"old":{"runs":1,"failed":0,"first":[],"token":[],"newer":7},"new":{},"begun":0}}`,
		"suspicions":    `"crash":[{"newer":7}]`,
		"lost, no more": `"lost":["s1"]`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newMemoryFleet(t, 2, 12)
			relay := f.exchanges[0]
			var forwarded [][]byte
			relay.transmit = func(_ netip.AddrPort, content []byte) { forwarded = append(forwarded, content) }
			relay.receive([]byte(`{"from":"entry-1-3","life":1,"relay":true,` + part + `}`))
			require.NotEmpty(t, forwarded)
			var want, got map[string]any
			require.NoError(t, json.Unmarshal([]byte(`{"from":"entry-1-3","life":1,`+part+`}`), &want))
			require.NoError(t, json.Unmarshal(forwarded[0], &got))
			require.Equal(t, want, got)
		})
	}
}

// TestRunOfFormerBuild guards against news of a former build that is ignored because it says less
// of a run: the cached prompt may be used.
func TestRunOfFormerBuild(t *testing.T) {
	f := newMemoryFleet(t, 1, 2)
	x := f.exchanges[0]
	x.receive([]byte(`{"from":"entry-0-1","life":1,"runs":[{"id":"9c41d07be2a35f68","server":"s1","copy":"s2","part":"e4402b7d","prompt":5200,"output":1040,"read":5200,"begun":true}]}`))
	latest, ok := x.Directory.LatestRun("e4402b7d")
	require.True(t, ok)
	require.Equal(t, "s1", latest.Server)
}

// TestFullNoticeFits guards against notices of runs that are not sent because they exceed a
// datagram.
func TestFullNoticeFits(t *testing.T) {
	run := rwbackend.Run{
		ID: "9c41d07be2a35f68", Server: "i-7f3a91c2", Copy: "i-7f3a91c3", Part: "e4402b7d", Prompt: 20_000, Output: 10_000, PrefillTokens: 20_000,
		Started: true, Ended: true, Lost: true, Revision: 100, PrefillRate: 10_000, Organisation: "AAAAAA", Request: "AAAAAAAAAAAAAAAA", Generation: "AAAAAAAAAAAAAAAA",
	}
	n := Notice{From: "front-amman-a-1", Incarnation: 1_800_000_000_000, Relay: true}
	for range maxRunsPerNotice {
		n.Runs = append(n.Runs, run)
	}
	for range maxLostPerNotice / 4 {
		n.LostServers = append(n.LostServers, run.Server)
	}
	content, err := json.Marshal(n)
	require.NoError(t, err)
	require.LessOrEqual(t, len(content), maxNoticeBytes)
}
