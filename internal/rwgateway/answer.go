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
	settingsRetry  = 2 * time.Second
	keepAliveAfter = time.Second
	writeStall     = 2 * time.Minute // a caller that takes nothing for this long is gone
)

// answer writes one answer to its caller, streamed or whole.
type answer struct {
	gateway *Gateway
	relay   *relay
	signer  *rwcursor.Signer
	spec    rwgeneration.Spec
	model   string
	chat    bool
	stream  bool
	usage   bool
	after   *rwcursor.Cursor // what the caller holds already
	w       http.ResponseWriter

	begun    bool           // the answer's head has been sent
	checked  bool           // the caller's cursor agrees with the copy
	offset   int            // tokens taken in
	digest   rwtoken.Digest // after them
	text     []byte         // not yet sent: an incomplete character, or the whole text
	sentAt   time.Time
	roleSent bool
}

// admitted sends the head of a streamed answer: from here on there is no HTTP
// status to refuse with.
func (a *answer) admitted() error {
	a.begin()
	return nil
}

func (a *answer) begin() {
	if a.begun || !a.stream || a.after != nil && !a.checked {
		return
	}
	a.begun = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Generation-Id", rwgeneration.Text(a.spec.ID))
	a.w.WriteHeader(http.StatusOK)
	a.sentAt = time.Now()
}

// tokens takes in a piece of the answer and sends what of its text is whole.
func (a *answer) tokens(_ int, tokens []rwtoken.Token) error {
	if a.offset == 0 && a.digest == 0 {
		a.digest = a.relay.journal.Run().First()
	}
	for _, t := range tokens {
		a.offset++
		a.digest = a.digest.Next(t)
		if a.after != nil && a.offset <= a.after.Offset {
			continue
		}
		a.text = append(a.text, t.Text...)
	}
	if err := a.check(); err != nil || !a.stream {
		return err
	}
	whole := rwtoken.Whole(a.text)
	if whole < len(a.text) || whole == 0 {
		return nil // the cursor must stand where the text is whole
	}
	return a.sendText()
}

// check compares the caller's cursor with the copy once that is long enough.
func (a *answer) check() error {
	if a.after == nil || a.checked || a.offset < a.after.Offset {
		return nil
	}
	if a.relay.journal.Run() != a.after.Run {
		return errAnotherRun
	}
	if err := a.relay.journal.Check(a.after.Offset, a.after.Digest); err != nil {
		return err
	}
	a.checked = true
	a.begin()
	return nil
}

var errAnotherRun = rwerror.New(rwerror.KindAnswerLost, "ask anew under a new Idempotency-Key",
	"the rest of this answer is lost: the request runs anew").WithRan(rwerror.RanYes)

func (a *answer) sendText() error {
	a.begin()
	cursor := a.signer.Sign(a.spec.Organisation, cursorOf(a.spec.ID, a.relay.journal.Run(), a.offset, a.digest))
	err := a.event(cursor, a.chunk(string(a.text), nil))
	a.text = a.text[:0]
	return err
}

// idle keeps a stream alive that has nothing to say for a moment.
func (a *answer) idle() error {
	if !a.begun || time.Since(a.sentAt) < keepAliveAfter {
		return nil
	}
	return a.write(": waiting\n\n")
}

func (a *answer) event(id string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if id == "" {
		return a.write(fmt.Sprintf("data: %s\n\n", content))
	}
	return a.write(fmt.Sprintf("id: %s\ndata: %s\n\n", id, content))
}

func (a *answer) write(text string) error {
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeStall))
	if _, err := a.w.Write([]byte(text)); err != nil {
		return err
	}
	a.sentAt = time.Now()
	return control.Flush()
}

// end sends the end of the answer. It returns an error that is to be sent with
// its own HTTP status.
func (a *answer) end(finish rwtoken.Finish) error {
	if finish.Err == nil && a.after != nil && !a.checked {
		finish.Err = a.unchecked()
	}
	if finish.Err != nil {
		return a.fail(finish.Err)
	}
	if !a.stream {
		return a.whole(finish)
	}
	if len(a.text) > 0 {
		if err := a.sendText(); err != nil {
			return nil //nolint:nilerr // the caller is gone
		}
	}
	a.begin()
	if a.event("", a.chunk("", &finish.Reason)) != nil {
		return nil
	}
	if a.usage && a.event("", a.usageChunk()) != nil {
		return nil
	}
	_ = a.write("data: [DONE]\n\n")
	return nil
}

// unchecked says why a cursor could not be compared with the whole answer.
func (a *answer) unchecked() *rwerror.Error {
	if err := a.check(); err != nil {
		return rwerror.As(err)
	}
	if a.checked {
		return nil
	}
	return rwerror.New(rwerror.KindCursor, "resume from the last event you received", "the cursor is past the end of the answer")
}

// fail tells the caller of the final error: as an HTTP status if nothing has
// been sent yet, as an event otherwise.
func (a *answer) fail(e *rwerror.Error) error {
	a.gateway.Counters.Add("errors", 1)
	if !a.begun {
		return e
	}
	_ = a.event("", e.Answer())
	return nil
}

// cut ends an answer whose deadline passed. To a caller that left there is
// nothing to say.
func (a *answer) cut(ctx context.Context) error {
	if ctx.Err() != context.DeadlineExceeded {
		return nil
	}
	return a.fail(rwerror.New(rwerror.KindTimeout, "ask again with a longer "+HeaderTimeout, "the request's deadline passed").WithRan(rwerror.RanUnknown))
}

func (a *answer) promptTokens() int { return len(a.relay.lineage.GetPrompt()) }
