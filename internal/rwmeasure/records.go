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
)

const (
	recordCalls = 2000
	storeDelay  = 5 * time.Millisecond
)

// recorder writes the two records of one call.
type recorder func(ctx context.Context, key string) error

// records sets group commit against one object a call, at 200 calls a second
// and a platform that answers in 5 ms.
func (b *Bench) records(ctx context.Context) error {
	for _, variant := range []struct {
		name   string
		target float64
		make   func(c *rwplatform.Client) recorder
	}{
		{"records.single", 0, singleRecords},
		{"records.group", 0.2, groupRecords},
	} {
		platform := &rwstandin.Platform{}
		server := httptest.NewServer(platform.Handler())
		platform.SetFaults(rwstandin.PlatformFaults{Delay: storeDelay})
		client := &rwplatform.Client{URL: server.URL, HTTP: rwnet.HTTPClient(rwnet.TCP{}), Timeout: 2 * time.Second}
		waits, failed := offer(ctx, variant.make(client))
		calls := 0
		for _, n := range platform.Calls() {
			calls += n
		}
		server.Close()
		b.most(variant.name+".failed", float64(failed), "calls", 0)
		perCall := float64(calls) / recordCalls
		if variant.target > 0 {
			b.most(variant.name+".calls", perCall, "calls/order", variant.target)
		} else {
			b.figure(variant.name+".calls", perCall, "calls/order")
		}
		b.figure(variant.name+".begin.p50", float64(waits.ValueAtQuantile(50))/1000, "ms")
		b.figure(variant.name+".begin.p95", float64(waits.ValueAtQuantile(95))/1000, "ms")
	}
	return nil
}

// offer records calls at 200 a second and returns how long each took before it
// could be sent.
func offer(ctx context.Context, record recorder) (*hdrhistogram.Histogram, int) {
	waits := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
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
			_ = waits.RecordValue(time.Since(started).Microseconds())
		})
	}
	wait.Wait()
	return waits, failed
}

func singleRecords(c *rwplatform.Client) recorder {
	return func(ctx context.Context, key string) error {
		made, err := rwplatform.Apply(ctx, c, rwobject.New(rwobject.KindRecords, key, rwonce.Record{State: rwonce.StateSent}))
		if err != nil {
			return err
		}
		go func() {
			_, _ = rwplatform.Apply(context.WithoutCancel(ctx), c, made.WithSpec(rwonce.Record{State: rwonce.StateDone}))
		}()
		return nil
	}
}

func groupRecords(c *rwplatform.Client) recorder {
	ledger := rwonce.NewLedger(c, rwonce.DefaultCommitInterval)
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
