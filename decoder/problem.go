package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a line and column in a file, both counted from 1. The zero Position
// stands for the whole file.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Problem is one error in a document.
type Problem struct {
	File string `json:"file"`
	Position
	// Path is the path of the value, for example engines[3].address.
	Path string `json:"path,omitempty"`
	// Message describes the error, Expected the accepted values.
	Message  string `json:"message"`
	Expected string `json:"expected,omitempty"`
}

// Error implements error.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	if p.Path != "" {
		b.WriteString(": " + p.Path)
	}
	b.WriteString(": " + p.Message)
	if p.Expected != "" {
		b.WriteString("; expected " + p.Expected)
	}
	return b.String()
}

// Problems is a non-empty list of errors in the order of their positions.
type Problems []Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sortedByPosition() Problems {
	sorted := slices.Clone(ps)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}

// Path is the sequence of steps from the root of a document to a value: a string
// step is a key, an int step is a list index.
type Path []any

// NewPath returns the path with the given steps from the root.
func NewPath(steps ...any) Path {
	return steps
}

// With returns a copy of the path with the steps appended.
func (p Path) With(steps ...any) Path {
	return append(slices.Clone(p), steps...)
}

// String returns the path in the form engines[3].address.
func (p Path) String() string {
	var b strings.Builder
	for _, step := range p {
		switch s := step.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", s)
		default:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			fmt.Fprint(&b, s)
		}
	}
	return b.String()
}
