package rwforward

import (
	"context"
	"time"

	"ragwortwall/internal/rwattempt"
	"ragwortwall/internal/rwbackend"
	"ragwortwall/internal/rwlink"
)

// slowAttempt is an attempt at a slow server that goes on while another server is asked.
type slowAttempt struct {
	conn    *rwlink.Conn
	server  rwbackend.View
	reused  bool // the connection was
	sentAt  time.Time
	release func() // see rwbackend.Directory.TrackRequest

	answering bool // the server has begun to respond
}

// checkAnswering finds out whether the server has begun to respond. a may be nil.
func (a *slowAttempt) checkAnswering() bool {
	if a != nil && !a.answering {
		a.answering = a.conn.HasResponse()
	}
	return a.isAnswering()
}

func (a *slowAttempt) isAnswering() bool { return a != nil && a.answering }

// close ends the attempt. The server may stop its work.
func (a *slowAttempt) close() {
	a.conn.Close()
	a.release()
}

// resumeSlow returns the result of the attempt at the slow server if the others have not answered
// the request, else theirs.
func (c *call) resumeSlow(others rwattempt.Result[serverResponse]) rwattempt.Result[serverResponse] {
	slow := c.slow
	if slow == nil {
		return others
	}
	answered := others.Outcome == rwattempt.OutcomeAnswered && !others.Failed
	if answered || others.Outcome == rwattempt.OutcomeRefused || c.remaining() <= 0 || c.r.Context().Err() != nil {
		slow.close()
		c.progress = responseProgress{}
		c.reportLoss(slow.server.Entry, errSlow) // the request may crash it yet
		return others
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.remaining())
	defer cancel()
	if c.f.Ending != nil {
		defer context.AfterFunc(c.f.Ending, cancel)()
	}
	stop := context.AfterFunc(ctx, slow.conn.Abort)
	defer stop()
	c.relayed = slow.conn.Relayed()
	response, err := c.awaitSlow(slow)
	if err != nil {
		slow.close()
		c.reportLoss(slow.server.Entry, err)
		if ctx.Err() == nil && !slow.reused && !c.pathMayBeLost(err) {
			c.f.Directory.RecordLoss(slow.server.ID)
		}
		c.logAttempt("exchange with the slow server interrupted", slow.server.ID, err)
		return others
	}
	if stop() && response.reply.RequestID != "" {
		c.f.Pool.Put(slow.conn)
	} else {
		slow.conn.Close()
	}
	slow.release()
	result := c.classify(response, time.Since(slow.sentAt))
	if result.Outcome != rwattempt.OutcomeAnswered || result.Failed && others.Outcome == rwattempt.OutcomeAnswered {
		return others
	}
	c.f.Log.Info("the slow server answered", "request", c.info.ID, "route", c.route.Name, "server", response.server, "status", response.status, "took", time.Since(slow.sentAt).Seconds())
	return result
}

// awaitSlow waits for the response of a slow server until the deadline.
func (c *call) awaitSlow(slow *slowAttempt) (serverResponse, error) {
	response, _, err := slow.conn.Resume(func(time.Duration) (time.Duration, error) { return c.remaining(), nil })
	if err != nil {
		return serverResponse{}, err
	}
	c.progress = responseProgress{}
	return c.readResponse(response, slow.server, slow.reused, slow.sentAt)
}
