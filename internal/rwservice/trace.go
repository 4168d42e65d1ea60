package rwservice

import (
	"context"
	"net/http/httptrace"
)

// traceConnected notes when a connection is at hand: from then on a byte of the
// request may leave.
func traceConnected(ctx context.Context, connected *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
}
