package rwmeasure

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"time"

	"ragwortwall/internal/rwnet"
	"ragwortwall/internal/rwobject"
	"ragwortwall/internal/rwonce"
	"ragwortwall/internal/rwplatform"
	"ragwortwall/internal/rwstandin"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
)

const (
	recordCalls  = 2000
	storeLatency = 5 * time.Millisecond
)

// recorder writes the record of a call before it is sent, and updates it in the
// background as if the call had ended. It returns after the first write.
type recorder func(ctx context.Context, key string) error

// measureRecords compares group commit with one object per call, at 200 calls a
// second and with a platform that answers after 5 ms.
func (b *Bench) measureRecords(ctx context.Context) error {
	for _, variant := range []struct {
		name        string
		target      float64 // upper limit of store calls per order; zero for none
		newRecorder func(c *rwplatform.Client) recorder
	}{
		{"records.single", 0, newSingleRecorder},
		{"records.group", 0.2, newGroupRecorder},
	} {
		platform := &rwstandin.Platform{}
		server := httptest.NewServer(platform.Handler())
		platform.SetFaults(rwstandin.PlatformFaults{Delay: storeLatency})
		client := &rwplatform.Client{URL: server.URL, HTTP: rwnet.HTTPClient(rwnet.TCP{}), Timeout: 2 * time.Second}
		latencies, failed := measureRecorder(ctx, variant.newRecorder(client))
		calls := 0
		for _, n := range platform.Calls() {
			calls += n
		}
		server.Close()
		b.checkMax(variant.name+".failed", float64(failed), "calls", 0)
		perCall := float64(calls) / recordCalls
		if variant.target > 0 {
			b.checkMax(variant.name+".calls", perCall, "calls/order", variant.target)
		} else {
			b.printValue(variant.name+".calls", perCall, "calls/order")
		}
		b.printValue(variant.name+".begin.p50", float64(latencies.ValueAtQuantile(50))/1000, "ms")
		b.printValue(variant.name+".begin.p95", float64(latencies.ValueAtQuantile(95))/1000, "ms")
	}
	return nil
}

// measureRecorder records calls at 200 a second. It returns the time that each call
// waited for its record, in microseconds, and the number of failed records.
func measureRecorder(ctx context.Context, record recorder) (*hdrhistogram.Histogram, int) {
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	failed := 0
	var mu sync.Mutex
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / orderRate)
	defer ticker.Stop()
	for n := range recordCalls {
		<-ticker.C
		wait.Go(func() {
			started := time.Now()
			err := record(ctx, fmt.Sprintf("order-%d", n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
			_ = latencies.RecordValue(time.Since(started).Microseconds())
		})
	}
	wait.Wait()
	return latencies, failed
}

// newSingleRecorder returns a recorder that writes one object per call.
func newSingleRecorder(c *rwplatform.Client) recorder {
	return func(ctx context.Context, key string) error {
		created, err := rwplatform.WriteConditionally(ctx, c, rwobject.New(rwobject.KindRecords, key, rwonce.Record{State: rwonce.StateSent}))
		if err != nil {
			return err
		}
		go func() {
			_, _ = rwplatform.WriteConditionally(context.WithoutCancel(ctx), c, created.WithSpec(rwonce.Record{State: rwonce.StateDone}))
		}()
		return nil
	}
}

// newGroupRecorder returns a recorder that uses the ledger's group commit.
func newGroupRecorder(c *rwplatform.Client) recorder {
	ledger := rwonce.NewLedger(c, rwonce.DefaultCommitInterval, logr.Discard())
	return func(ctx context.Context, key string) error {
		call := rwonce.Call{Key: key}
		nonce := rwonce.NewNonce()
		if _, _, err := ledger.Begin(ctx, call, nonce); err != nil {
			return err
		}
		go func() {
			_ = ledger.End(context.WithoutCancel(ctx), call, nonce, rwonce.StateDone, rwonce.Outcome{Status: 201})
		}()
		return nil
	}
}
