package rwserve

import (
	"context"
	"io"

	"ragwortwall/internal/rwgateway"
	"ragwortwall/internal/rwwire"

	"github.com/juju/errors"
)

// primaries reaches the primary at any instance.
type primaries struct {
	instance *Instance
}

// Start begins or joins a generation at an instance.
func (p *primaries) Start(ctx context.Context, name string, r *rwwire.StartRequest) (rwgateway.ChunkStream, error) {
	i := p.instance
	if name == i.Config.Name {
		return startHere(ctx, i, r), nil
	}
	m, ok := i.view.Member(name)
	if !ok {
		return nil, errors.Errorf("instance %s is not known", name)
	}
	return i.peers.Instance(m.Address).Start(ctx, r)
}

// startHere serves this instance's own gateway without a connection.
func startHere(ctx context.Context, i *Instance, r *rwwire.StartRequest) *localStream {
	ctx, cancel := context.WithCancel(ctx)
	l := &localStream{ctx: ctx, cancel: cancel, chunks: make(chan *rwwire.Chunk), done: make(chan error, 1)}
	go func() { l.done <- i.serveStart(r, l) }()
	return l
}

// localStream is a stream of chunks inside the process.
type localStream struct {
	ctx    context.Context //nolint:containedctx // a stream has the context of its call
	cancel context.CancelFunc
	chunks chan *rwwire.Chunk
	done   chan error
}

// Context is the context of the call.
func (l *localStream) Context() context.Context { return l.ctx }

// Send hands a chunk to the reader.
func (l *localStream) Send(c *rwwire.Chunk) error {
	select {
	case l.chunks <- c:
		return nil
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

// Recv waits for the next chunk.
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

// Close ends the stream.
func (l *localStream) Close() error {
	l.cancel()
	return nil
}
