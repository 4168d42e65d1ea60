package rwgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"ragwortwall/internal/rwcursor"
	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwgeneration"
	"ragwortwall/internal/rwtoken"
)

const (
	noSettingsRetryAfter = 2 * time.Second // Retry-After while this instance has no settings
	keepAliveInterval    = time.Second
	writeTimeout         = 2 * time.Minute // a caller that reads nothing for this long is disconnected
)

// answerWriter writes one answer to its caller, as a stream or as one response.
type answerWriter struct {
	gateway      *Gateway
	relay        *relay
	signer       *rwcursor.Signer
	spec         rwgeneration.Spec
	model        string
	chat         bool
	stream       bool
	includeUsage bool
	resumeFrom   *rwcursor.Cursor // end of the part that the caller already has; nil to send the whole answer
	w            http.ResponseWriter

	headerSent    bool           // the HTTP header of the stream was written, together with the first text
	cursorChecked bool           // the caller's cursor matches the copy
	offset        int            // number of tokens received
	digest        rwtoken.Digest // of the tokens received
	pending       []byte         // text not sent yet; all of it if the answer is not streamed
	lastWrite     time.Time      // when something was last written to the caller of a stream; at first when it was admitted
	roleSent      bool           // a chunk of the chat completion has named the role
}

// onAdmitted starts the time until the first heartbeat is sent. It sends no header: until
// there is something to send, an error can still get its HTTP status.
func (a *answerWriter) onAdmitted() error {
	if a.lastWrite.IsZero() {
		a.lastWrite = time.Now()
	}
	return nil
}

// sendHeader writes the HTTP header of a streamed answer, once; the next write flushes it.
// If the caller resumes an answer, it writes nothing until the cursor is checked: a wrong
// cursor gets an HTTP status.
func (a *answerWriter) sendHeader() {
	if a.headerSent || !a.stream || a.resumeFrom != nil && !a.cursorChecked {
		return
	}
	a.headerSent = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Generation-Id", rwgeneration.FormatID(a.spec.ID))
	a.w.WriteHeader(http.StatusOK)
}

// onTokens adds a piece of the answer and sends the pending text if it ends with a
// complete character.
func (a *answerWriter) onTokens(_ int, tokens []rwtoken.Token) error {
	if a.offset == 0 && a.digest == 0 {
		a.digest = a.relay.journal.Run().InitialDigest()
	}
	for _, t := range tokens {
		a.offset++
		a.digest = a.digest.Next(t)
		if a.resumeFrom != nil && a.offset <= a.resumeFrom.Offset {
			continue
		}
		a.pending = append(a.pending, t.Text...)
	}
	if err := a.checkCursor(); err != nil || !a.stream {
		return err
	}
	whole := rwtoken.CompletePrefixLen(a.pending)
	if whole < len(a.pending) || whole == 0 {
		return nil // a cursor must not point into a character
	}
	return a.sendText()
}

// checkCursor compares the caller's cursor with the copy once the copy is long enough.
func (a *answerWriter) checkCursor() error {
	if a.resumeFrom == nil || a.cursorChecked || a.offset < a.resumeFrom.Offset {
		return nil
	}
	if a.relay.journal.Run() != a.resumeFrom.Run {
		return errRunMismatch
	}
	if err := a.relay.journal.VerifyDigest(a.resumeFrom.Offset, a.resumeFrom.Digest); err != nil {
		return err
	}
	a.cursorChecked = true
	return nil
}

var errRunMismatch = rwerror.New(rwerror.KindAnswerLost, "send the request again with a new Idempotency-Key",
	"the rest of this answer is lost: the request was started again").WithRan(rwerror.RanYes)

// sendText sends the pending text in an event. The event's id is the cursor after the text,
// with which a caller can resume.
func (a *answerWriter) sendText() error {
	a.sendHeader()
	cursor := a.signer.Sign(a.spec.Organisation, newCursor(a.spec.ID, a.relay.journal.Run(), a.offset, a.digest))
	err := a.sendEvent(cursor, a.chunk(string(a.pending), nil))
	a.pending = a.pending[:0]
	return err
}

// onHeartbeat sends a comment on a stream that was idle for keepAliveInterval, so that
// the connection stays open.
func (a *answerWriter) onHeartbeat() error {
	if a.lastWrite.IsZero() || time.Since(a.lastWrite) < keepAliveInterval {
		return nil
	}
	a.sendHeader()
	if !a.headerSent {
		return nil
	}
	return a.write(": waiting\n\n")
}

// sendEvent sends body as JSON in an event, without an id if id is empty.
func (a *answerWriter) sendEvent(id string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if id == "" {
		return a.write(fmt.Sprintf("data: %s\n\n", content))
	}
	return a.write(fmt.Sprintf("id: %s\ndata: %s\n\n", id, content))
}

// write writes text and flushes it. It is used for streamed answers only.
func (a *answerWriter) write(text string) error {
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write([]byte(text)); err != nil {
		return err
	}
	a.lastWrite = time.Now()
	return control.Flush()
}

// end sends the end of the answer. A returned error is still to be sent, with its own
// HTTP status.
func (a *answerWriter) end(finish rwtoken.Finish) error {
	if finish.Err == nil && a.resumeFrom != nil && !a.cursorChecked {
		finish.Err = a.cursorError()
	}
	if finish.Err != nil {
		return a.sendError(finish.Err)
	}
	if !a.stream {
		return a.sendWhole(finish)
	}
	if len(a.pending) > 0 {
		if err := a.sendText(); err != nil {
			return nil //nolint:nilerr // the caller has disconnected
		}
	}
	a.sendHeader()
	if a.sendEvent("", a.chunk("", &finish.Reason)) != nil {
		return nil
	}
	if a.includeUsage && a.sendEvent("", a.usageChunk()) != nil {
		return nil
	}
	_ = a.write("data: [DONE]\n\n")
	return nil
}

// cursorError returns the reason why the caller's cursor does not match the complete
// answer, or nil if it matches.
func (a *answerWriter) cursorError() *rwerror.Error {
	if err := a.checkCursor(); err != nil {
		return rwerror.As(err)
	}
	if a.cursorChecked {
		return nil
	}
	return rwerror.New(rwerror.KindInvalidCursor, "resume from the last event you received", "the cursor points past the end of the answer")
}

// sendError reports the final error to the caller: it returns the error, for an HTTP
// status, if nothing has been sent yet, and otherwise sends it as an event.
func (a *answerWriter) sendError(e *rwerror.Error) error {
	a.gateway.Counters.Add("errors", 1)
	if !a.headerSent {
		return e
	}
	_ = a.sendEvent("", e.Answer())
	return nil
}

// sendTimeout ends an answer whose deadline passed. If the caller has left, it sends
// nothing.
func (a *answerWriter) sendTimeout(ctx context.Context) error {
	if ctx.Err() != context.DeadlineExceeded {
		return nil
	}
	return a.sendError(rwerror.New(rwerror.KindTimeout, "retry with a longer "+HeaderTimeout, "the deadline of the request passed").WithRan(rwerror.RanUnknown))
}

func (a *answerWriter) promptTokens() int { return len(a.relay.lineage.GetPrompt()) }
