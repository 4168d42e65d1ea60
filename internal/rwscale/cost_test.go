package rwscale_test

import (
	"fmt"
	"testing"
	"time"

	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwroute"
	"ragwortwall/internal/rwscale"
)

// BenchmarkSample measures what each instance does once a second: 96 servers, 180 streams.
func BenchmarkSample(b *testing.B) {
	d := rwbackend.NewDirectory("i")
	for n := range 96 {
		d.Put(rwbackend.Entry{ID: fmt.Sprint("s", n), Service: "model", Address: fmt.Sprint("a", n), Zone: string(rune('a' + n%3))})
	}
	for n := range 180 {
		d.PutRun(rwbackend.Run{ID: fmt.Sprint("r", n), Owner: "p", Server: fmt.Sprint("s", n%96), Copy: fmt.Sprint("s", (n+1)%96), Prompt: 8200, Output: 1400, PrefillTokens: 8000})
	}
	table := rwroute.New(rwroute.Parts{Services: []rwroute.Service{{Name: "model", Scale: rwroute.Scale{Min: 1, Max: 2}}}})
	c := rwscale.Collector{Source: d, Table: func() *rwroute.Table { return table }}
	for b.Loop() {
		c.Sample(time.Now())
	}
}
