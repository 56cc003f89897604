package decoder

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"
)

// Source is a parsed YAML document with the problems found so far. It is used
// by one goroutine.
type Source struct {
	file     string
	root     ast.Node
	problems Problems
}

// Parse parses a document. A syntax fault is kept as a problem; Decode then
// does nothing.
func Parse(file string, data []byte) *Source {
	s := &Source{file: file}
	// Repeated keys are reported by Decode, together with the other faults.
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		s.addSyntax(err)
		return s
	}
	var bodies []ast.Node
	for _, d := range f.Docs {
		if d.Body != nil {
			bodies = append(bodies, d.Body)
		}
	}
	switch len(bodies) {
	case 0:
		s.add(nil, Position{}, "a mapping", "the document is empty")
	case 1:
		s.root = bodies[0]
	default:
		s.add(nil, position(bodies[1]), "one document", "the file has %d documents", len(bodies))
	}
	return s
}

// Unpositioned returns a Source without text. It collects the problems of a
// document that was not read from a file; they have no positions.
func Unpositioned(file string) *Source {
	return &Source{file: file}
}

// Report adds a problem at the value that the path locates, or at the nearest
// enclosing value that exists.
func (s *Source) Report(path Path, expected, format string, args ...any) {
	s.add(path, s.position(path), expected, format, args...)
}

// Err returns the Problems found so far, or nil.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	return s.problems.sorted()
}

func (s *Source) add(path Path, p Position, expected, format string, args ...any) {
	s.problems = append(s.problems, Problem{
		File:     s.file,
		Position: p,
		Path:     path.String(),
		Message:  fmt.Sprintf(format, args...),
		Expected: expected,
	})
}

func (s *Source) addSyntax(err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		s.add(nil, Position{}, "", "%v", err)
		return
	}
	p := located.GetToken().Position
	s.add(nil, Position{p.Line, p.Column}, "valid YAML", "%s", located.GetMessage())
}

// position walks down the path as far as values exist.
func (s *Source) position(path Path) Position {
	if s.root == nil {
		return Position{}
	}
	at, node := position(s.root), s.root
	for _, step := range path {
		next := child(node, step)
		if next == nil {
			break
		}
		node = next
		at = position(node)
	}
	return at
}

func child(n ast.Node, step any) ast.Node {
	switch s := step.(type) {
	case string:
		m, ok := n.(ast.MapNode)
		if !ok {
			return nil
		}
		for it := m.MapRange(); it.Next(); {
			if it.Key().GetToken().Value == s {
				return it.Value()
			}
		}
	case int:
		l, ok := n.(*ast.SequenceNode)
		if ok && s < len(l.Values) {
			return l.Values[s]
		}
	}
	return nil
}

// position returns where the node starts. The token of a block mapping is the
// colon after its first key, so its first key is taken instead.
func position(n ast.Node) Position {
	switch v := n.(type) {
	case *ast.MappingNode:
		if !v.IsFlowStyle && len(v.Values) > 0 {
			return position(v.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return position(v.Key)
	case *ast.SequenceNode:
		if !v.IsFlowStyle && len(v.Values) > 0 {
			return position(v.Values[0])
		}
	}
	t := n.GetToken()
	if t == nil {
		return Position{}
	}
	return Position{t.Position.Line, t.Position.Column}
}

// describe names the type of a node in an error message.
func describe(n ast.Node) string {
	switch v := n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "an empty value"
	case *ast.StringNode:
		return fmt.Sprintf("the string %q", v.Value)
	case *ast.LiteralNode:
		return "a block string"
	case *ast.IntegerNode:
		return "the integer " + v.Token.Value
	case *ast.FloatNode:
		return "the number " + v.Token.Value
	case *ast.BoolNode:
		return "the boolean " + v.Token.Value
	case *ast.AnchorNode:
		return "an anchor"
	case *ast.AliasNode:
		return "an alias"
	case *ast.TagNode:
		return "a tag"
	default:
		return n.Type().String()
	}
}
