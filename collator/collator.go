// Package collator merges the structured logs of several processes into one
// timeline: it reads JSON log lines, selects those of a request, an endpoint or a
// period, and sorts them by time.
package collator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes limits the length of one line. Read fails at a longer line.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	Time    time.Time
	Process string
	Level   string
	Message string
	// Fields holds the remaining fields, sorted by name.
	Fields []Field
}

// Field is a named value of a log line. The value is JSON text, without the
// quotation marks if it is a string.
type Field struct {
	Name  string
	Value string
}

// Filter selects log lines. A line must match every field that is set; the bounds
// Since and Until are inclusive.
type Filter struct {
	RequestID string
	Endpoint  string
	Since     time.Time
	Until     time.Time
}

// Collator collects the log lines that match its filter. The zero value is ready
// to use and selects all lines.
type Collator struct {
	Filter Filter

	lines []Line
	// skipped is the number of lines that could not be parsed as log lines.
	skipped int
}

// Read adds the matching lines of a log. Text before the JSON object of a line,
// such as the prefix that a log shipper adds, is ignored.
func (c *Collator) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			c.skipped++
			continue
		}
		line, err := parseLine(scanner.Bytes()[start:])
		if err != nil {
			c.skipped++
			continue
		}
		if c.Filter.matches(line) {
			c.lines = append(c.lines, line)
		}
	}
	return errors.Trace(scanner.Err())
}

// parseLine parses the JSON object of a log line, which must have a time.
func parseLine(data []byte) (Line, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return Line{}, errors.Trace(err)
	}
	var line Line
	for name, target := range map[string]any{"time": &line.Time, "router": &line.Process, "level": &line.Level, "message": &line.Message} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, target); err != nil {
				return Line{}, errors.Annotatef(err, "invalid value in field %s", name)
			}
			delete(fields, name)
		}
	}
	if line.Time.IsZero() {
		return Line{}, errors.New("log line has no time")
	}
	for name, raw := range fields {
		line.Fields = append(line.Fields, Field{Name: name, Value: strings.Trim(string(raw), `"`)})
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return line, nil
}

// matches reports whether the filter selects the line.
func (f Filter) matches(line Line) bool {
	return (f.Since.IsZero() || !line.Time.Before(f.Since)) &&
		(f.Until.IsZero() || !line.Time.After(f.Until)) &&
		(f.RequestID == "" || line.fieldValue("request-id") == f.RequestID) &&
		(f.Endpoint == "" || line.fieldValue("endpoint") == f.Endpoint)
}

// fieldValue returns the value of a field, or "" if the line does not have it.
func (l Line) fieldValue(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Lines returns the selected lines, sorted by time. Lines with equal times keep
// the order in which they were read.
func (c *Collator) Lines() []Line {
	slices.SortStableFunc(c.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return c.lines
}

// Skipped returns the number of lines that could not be parsed as log lines.
func (c *Collator) Skipped() int { return c.skipped }

// String formats the line as text: time of day in UTC, level, process, message and
// the fields that are not empty.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5s %s: %s", l.Time.UTC().Format("15:04:05.000"), l.Level, l.Process, l.Message)
	for _, f := range l.Fields {
		if f.Value != "" {
			fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
		}
	}
	return b.String()
}
