package rwlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line about a request.
type Line struct {
	Time   time.Time      `json:"time"`
	Source string         `json:"source"` // name of the log file
	Text   string         `json:"text"`
	Fields map[string]any `json:"fields"`
}

// Timeline holds the log lines about one request, ordered by time.
type Timeline struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	Cause   string `json:"cause"`   // the cause in the latest line that has one
	Outcome string `json:"outcome"` // text of the latest line that ends the request
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// outcomes are the texts of lines that end a request.
var outcomes = []string{"answered", "refused", "stream ended", "stream cut", "stream cut for the stop", "caller left"}

// AddLog adds the lines about the timeline's request from the log r; source names the
// log. It skips lines without JSON, lines about other requests, and text before the
// JSON of a line. It returns errors of r, and bufio.ErrTooLong for a line of more than
// 1 MiB.
func (t *Timeline) AddLog(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(t.Request)) {
			continue
		}
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(scanner.Bytes()[start:], &fields); err != nil {
			continue
		}
		if fields["request"] != t.Request && fields["run"] != t.Request {
			continue
		}
		t.addLine(source, fields)
	}
	return scanner.Err()
}

func (t *Timeline) addLine(source string, fields map[string]any) {
	line := Line{Source: source, Fields: fields}
	if text, ok := fields["msg"].(string); ok {
		line.Text = text
	}
	if text, ok := fields["ts"].(string); ok {
		// A line whose time can't be parsed sorts to the beginning.
		line.Time, _ = time.Parse(time.RFC3339Nano, text)
	}
	for _, name := range []string{"msg", "ts", "level", "request"} {
		delete(fields, name)
	}
	t.Lines = append(t.Lines, line)
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	t.Cause, t.Outcome = "", ""
	for _, l := range t.Lines {
		if cause, ok := l.Fields["cause"].(string); ok && cause != "" {
			t.Cause = cause
		}
		if slices.Contains(outcomes, l.Text) {
			t.Outcome = l.Text
		}
	}
}

// Print writes the timeline to w as text.
func (t *Timeline) Print(w io.Writer) {
	if len(t.Lines) == 0 {
		fmt.Fprintf(w, "no log lines about request %s; search the logs of all instances, including those that were replaced\n", t.Request)
		return
	}
	startedAt := t.Lines[0].Time
	for _, l := range t.Lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if value := fmt.Sprint(l.Fields[name]); value != "" {
				fields = append(fields, name+"="+value)
			}
		}
		fmt.Fprintf(w, "%8.3f s  %-22s %s  (%s)\n", l.Time.Sub(startedAt).Seconds(), l.Text, strings.Join(fields, " "), l.Source)
	}
	fmt.Fprintf(w, "outcome: %s\n", orNotLogged(t.Outcome))
	fmt.Fprintf(w, "cause:   %s\n", orNotLogged(t.Cause))
}

func orNotLogged(text string) string {
	if text == "" {
		return "not logged"
	}
	return text
}
