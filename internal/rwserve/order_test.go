package rwserve

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwstandin"

	"github.com/stretchr/testify/require"
)

// placed is what a caller of an order was told.
type placed struct {
	status int
	ran    rwerror.Ran
	kind   rwerror.Kind
	after  string
	replay bool
	body   string
}

// order places an order at the n-th instance.
func (f *fleet) order(n int, key, body string) placed {
	request, err := http.NewRequest(http.MethodPost, "http://"+callersAddress(n)+"/orders/new", strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return placed{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	p := placed{status: response.StatusCode, after: response.Header.Get("Retry-After"), body: string(content)}
	p.replay = response.Header.Get("Idempotent-Replayed") == "true"
	if e, ok := rwerror.FromAnswer(content); ok {
		p.kind = e.Kind
		p.ran = e.Ran
	}
	return p
}

// requireTruth checks that no order ran twice, and that none of which a caller
// was last told that it was not run has run.
func (f *fleet) requireTruth(told map[string]placed) {
	f.t.Helper()
	ran := f.service.Orders()
	for key, n := range ran {
		require.LessOrEqual(f.t, n, 1, "order %s ran twice", key)
	}
	for key, p := range told {
		if p.ran == rwerror.RanNo && p.status >= http.StatusBadRequest {
			require.Zero(f.t, ran[key], "order %s was called not run but ran", key)
		}
		if p.status == http.StatusCreated {
			require.Equal(f.t, 1, ran[key], "order %s was called placed", key)
		}
	}
}

func TestOrderRepeated(t *testing.T) {
	withFleet(t, small, func(f *fleet) {
		first := f.order(0, "k", "plan")
		require.Equal(t, http.StatusCreated, first.status)
		for n := range f.instances {
			again := f.order(n, "k", "plan")
			require.Equal(t, http.StatusCreated, again.status)
			require.True(t, again.replay)
			require.Equal(t, first.body, again.body)
		}
		f.requireTruth(map[string]placed{"k": first})
	})
}

func TestOrderAllAtOnce(t *testing.T) {
	withFleet(t, small, func(f *fleet) {
		f.service.SetFaults(rwstandin.ServiceFaults{Delay: time.Second})
		answers := make(chan placed, 8)
		for n := range 8 {
			go func() { answers <- f.order(n%4, "k", "plan") }()
		}
		created := 0
		for range 8 {
			p := <-answers
			if p.status == http.StatusCreated {
				created++
				continue
			}
			require.Equal(t, rwerror.RanUnknown, p.ran)
		}
		require.Equal(t, 1, created)
		require.Equal(t, 1, f.service.Orders()["k"])
	})
}

func TestOrderRefused(t *testing.T) {
	withFleet(t, small, func(f *fleet) {
		t.Run("without a key", func(t *testing.T) {
			require.Equal(t, rwerror.KindInvalid, f.order(0, "", "plan").kind)
		})
		t.Run("with another body", func(t *testing.T) {
			require.Equal(t, http.StatusCreated, f.order(0, "k", "plan").status)
			require.Equal(t, rwerror.KindMismatch, f.order(1, "k", "another plan").kind)
		})
		t.Run("while the platform is out", func(t *testing.T) {
			f.platform.SetFaults(outage)
			started := time.Now()
			p := f.order(0, "k2", "plan")
			require.Equal(t, http.StatusServiceUnavailable, p.status)
			require.Equal(t, rwerror.RanNo, p.ran)
			require.NotEmpty(t, p.after)
			require.Less(t, time.Since(started), 5*time.Second)
			require.Zero(t, f.service.Orders()["k2"])
			f.platform.SetFaults(rwstandin.PlatformFaults{})
			time.Sleep(10 * time.Second)
			p = f.order(1, "k2", "plan")
			require.Equal(t, http.StatusCreated, p.status, "%s", p.body)
		})
		t.Run("while the service is gone", func(t *testing.T) {
			f.network.Kill("s1")
			p := f.order(0, "k3", "plan")
			require.Equal(t, rwerror.RanNo, p.ran)
			require.Zero(t, f.service.Orders()["k3"])
		})
	})
}

// TestOrderAnswerLost loses the service's answer after the order ran.
func TestOrderAnswerLost(t *testing.T) {
	withFleet(t, small, func(f *fleet) {
		f.service.SetFaults(rwstandin.ServiceFaults{Lose: 1})
		p := f.order(0, "k", "plan")
		require.Equal(t, rwerror.KindUnknown, p.kind)
		require.Equal(t, rwerror.RanUnknown, p.ran)
		for n := range f.instances {
			p = f.order(n, "k", "plan")
			require.Equal(t, rwerror.RanUnknown, p.ran)
		}
		require.Equal(t, 1, f.service.Orders()["k"])
	})
}

// TestOrderStoreAnswersLost loses the platform's answers to writes that took
// effect, one by one.
func TestOrderStoreAnswersLost(t *testing.T) {
	withFleet(t, small, func(f *fleet) {
		told := map[string]placed{}
		for n := range 12 {
			f.platform.SetFaults(rwstandin.PlatformFaults{Lose: n % 4})
			key := fmt.Sprintf("k%d", n)
			told[key] = f.order(n%4, key, "plan")
			require.Equal(t, http.StatusCreated, told[key].status, "%s", told[key].body)
		}
		f.requireTruth(told)
	})
}

// TestOrderHolderLost kills, freezes and thaws the instances that keep the
// records while orders come.
func TestOrderHolderLost(t *testing.T) {
	withFleet(t, small, func(f *fleet) {
		told := map[string]placed{}
		for n := range 40 {
			switch n {
			case 10:
				f.network.Freeze(instanceName(1), true)
			case 20:
				f.network.Freeze(instanceName(1), false)
			case 25:
				f.kill(2)
			}
			key := fmt.Sprintf("k%d", n)
			at := []int{0, 3}[n%2]
			told[key] = f.order(at, key, "plan")
			if told[key].status != http.StatusCreated {
				told[key] = f.order(3-at, key, "plan")
			}
		}
		f.requireTruth(told)
		placed := 0
		for _, p := range told {
			if p.status == http.StatusCreated {
				placed++
			}
		}
		require.GreaterOrEqual(t, placed, 30)
	})
}
