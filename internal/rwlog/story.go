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

// Line is one line about a request.
type Line struct {
	Time   time.Time      `json:"time"`
	Source string         `json:"source"` // file that it stands in
	Text   string         `json:"text"`
	Fields map[string]any `json:"fields"`
}

// Story is what logs say of one request, in the order of time.
type Story struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	Cause   string `json:"cause"` // the last one that a line names
	Outcome string `json:"outcome"`
}

// lineMost bounds a line of a log, in bytes.
const lineMost = 1 << 20

// outcomes are the texts of lines that end a request.
var outcomes = []string{"answered", "refused", "stream ended", "stream cut", "stream cut for the stop", "caller left"}

// Read adds what a log says of the story's request. Lines that are no JSON, or of
// other requests, are passed over; text before the JSON of a line too.
func (s *Story) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineMost)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(s.Request)) {
			continue
		}
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(scanner.Bytes()[at:], &fields); err != nil {
			continue
		}
		if fields["request"] != s.Request && fields["run"] != s.Request {
			continue
		}
		s.add(source, fields)
	}
	return scanner.Err()
}

func (s *Story) add(source string, fields map[string]any) {
	line := Line{Source: source, Fields: fields}
	if text, ok := fields["msg"].(string); ok {
		line.Text = text
	}
	if text, ok := fields["ts"].(string); ok {
		// A line without a readable time stands at the beginning.
		line.Time, _ = time.Parse(time.RFC3339Nano, text)
	}
	for _, name := range []string{"msg", "ts", "level", "request"} {
		delete(fields, name)
	}
	s.Lines = append(s.Lines, line)
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s.Cause, s.Outcome = "", ""
	for _, l := range s.Lines {
		if cause, ok := l.Fields["cause"].(string); ok && cause != "" {
			s.Cause = cause
		}
		if slices.Contains(outcomes, l.Text) {
			s.Outcome = l.Text
		}
	}
}

// Write writes the story for people.
func (s *Story) Write(w io.Writer) {
	if len(s.Lines) == 0 {
		fmt.Fprintf(w, "no line about request %s; look into the logs of all instances, also those that were replaced\n", s.Request)
		return
	}
	began := s.Lines[0].Time
	for _, l := range s.Lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if value := fmt.Sprint(l.Fields[name]); value != "" {
				fields = append(fields, name+"="+value)
			}
		}
		fmt.Fprintf(w, "%8.3f s  %-22s %s  (%s)\n", l.Time.Sub(began).Seconds(), l.Text, strings.Join(fields, " "), l.Source)
	}
	fmt.Fprintf(w, "outcome: %s\n", orNone(s.Outcome))
	fmt.Fprintf(w, "cause:   %s\n", orNone(s.Cause))
}

func orNone(text string) string {
	if text == "" {
		return "none is told"
	}
	return text
}
