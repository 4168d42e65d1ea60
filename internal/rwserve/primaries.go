package rwserve

import (
	"context"
	"io"

	"ragwortwall/internal/rwgateway"
	"ragwortwall/internal/rwwire"

	"github.com/juju/errors"
)

// primaryClient starts generations at the primary on any instance, this one included.
type primaryClient struct {
	instance *Instance
}

// Start begins or joins a generation at the named instance.
func (p *primaryClient) Start(ctx context.Context, name string, r *rwwire.StartRequest) (rwgateway.ChunkStream, error) {
	i := p.instance
	if name == i.Config.Name {
		return startLocalStream(ctx, i, r), nil
	}
	m, ok := i.view.Member(name)
	if !ok {
		return nil, errors.Errorf("unknown instance %s", name)
	}
	return i.peers.InstanceClient(m.Address).Start(ctx, r)
}

// startLocalStream serves this instance's own gateway without a network connection.
func startLocalStream(ctx context.Context, i *Instance, r *rwwire.StartRequest) *localStream {
	ctx, cancel := context.WithCancel(ctx)
	l := &localStream{ctx: ctx, cancel: cancel, chunks: make(chan *rwwire.Chunk), done: make(chan error, 1)}
	go func() { l.done <- i.serveStart(r, l) }()
	return l
}

// localStream is an in-process stream of chunks.
type localStream struct {
	ctx    context.Context //nolint:containedctx // a stream carries the context of its call
	cancel context.CancelFunc
	chunks chan *rwwire.Chunk
	done   chan error
}

// Context returns the context of the call.
func (l *localStream) Context() context.Context { return l.ctx }

// Send blocks until the reader receives the chunk or the call's context ends.
func (l *localStream) Send(c *rwwire.Chunk) error {
	select {
	case l.chunks <- c:
		return nil
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

// Recv returns the next chunk, or io.EOF after the last one.
func (l *localStream) Recv() (*rwwire.Chunk, error) {
	select {
	case c := <-l.chunks:
		return c, nil
	case err := <-l.done:
		if err == nil {
			err = io.EOF
		}
		return nil, err
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
}

// Close cancels the stream's context.
func (l *localStream) Close() error {
	l.cancel()
	return nil
}
