package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a file; both numbers start at 1. A zero Position
// stands for the file as a whole.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Problem is one fault of a document.
type Problem struct {
	File string `json:"file"`
	Position
	// Path locates the value, for example engines[3].address.
	Path string `json:"path,omitempty"`
	// Message states the fault and Expected what is accepted instead.
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

// Problems is a non-empty list of faults in the order of their positions.
type Problems []Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sorted() Problems {
	sorted := slices.Clone(ps)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}

// Path locates a value: strings are keys, ints are list indices.
type Path []any

// At returns the path of the given steps.
func At(steps ...any) Path {
	return steps
}

// With returns the path extended by further steps.
func (p Path) With(steps ...any) Path {
	return append(slices.Clone(p), steps...)
}

// String returns the path as in engines[3].address.
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
