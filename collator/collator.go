// Package collator reads the log lines of several processes, selects those that
// concern a request or an endpoint, and orders them by time.
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

// maxLine bounds one line, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Process string
	Level   string
	Message string
	// Fields holds the other fields in the order of their names.
	Fields []Field
}

// Field is a named value as JSON.
type Field struct {
	Name  string
	Value string
}

// Filter selects lines; every value that is set must match.
type Filter struct {
	RequestID string
	Endpoint  string
	Since     time.Time
	Until     time.Time
}

// Collator collects lines. The zero value is ready.
type Collator struct {
	Filter Filter

	lines []Line
	// skipped counts lines that are no log lines.
	skipped int
}

// Read takes in the lines of a log. What stands before the JSON object of a
// line, such as a prefix of a log shipper, is ignored.
func (c *Collator) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			c.skipped++
			continue
		}
		line, err := parse(scanner.Bytes()[at:])
		if err != nil {
			c.skipped++
			continue
		}
		if c.Filter.match(line) {
			c.lines = append(c.lines, line)
		}
	}
	return errors.Trace(scanner.Err())
}

func parse(data []byte) (Line, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return Line{}, errors.Trace(err)
	}
	var l Line
	for name, target := range map[string]any{"time": &l.Time, "router": &l.Process, "level": &l.Level, "message": &l.Message} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, target); err != nil {
				return Line{}, errors.Annotatef(err, "field %s", name)
			}
			delete(fields, name)
		}
	}
	if l.Time.IsZero() {
		return Line{}, errors.New("a line without a time")
	}
	for name, raw := range fields {
		l.Fields = append(l.Fields, Field{Name: name, Value: strings.Trim(string(raw), `"`)})
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

func (f Filter) match(l Line) bool {
	return (f.Since.IsZero() || !l.Time.Before(f.Since)) &&
		(f.Until.IsZero() || !l.Time.After(f.Until)) &&
		(f.RequestID == "" || l.value("request-id") == f.RequestID) &&
		(f.Endpoint == "" || l.value("endpoint") == f.Endpoint)
}

func (l Line) value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Lines returns the selected lines by time. Lines of one process stay in their
// order where their times are equal.
func (c *Collator) Lines() []Line {
	slices.SortStableFunc(c.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return c.lines
}

// Skipped returns the number of lines that are no log lines.
func (c *Collator) Skipped() int { return c.skipped }

// String returns the line as one line of text.
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
