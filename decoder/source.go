package decoder

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"
)

// Source is a parsed YAML document with the problems found so far. It is not safe
// for concurrent use.
type Source struct {
	file     string
	root     ast.Node
	problems Problems
}

// Parse parses a document. A syntax error is added to the problems; Decode then
// does nothing.
func Parse(file string, data []byte) *Source {
	s := &Source{file: file}
	// The parser accepts repeated keys, so that Decode can report them together
	// with the other errors.
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		s.addSyntaxError(err)
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
		s.addProblem(nil, Position{}, "a mapping", "the document is empty")
	case 1:
		s.root = bodies[0]
	default:
		s.addProblem(nil, nodePosition(bodies[1]), "one document", "the file has %d documents", len(bodies))
	}
	return s
}

// NewSource returns a Source without a parsed document. It collects problems of a
// document that was not read from a file, so they have no positions.
func NewSource(file string) *Source {
	return &Source{file: file}
}

// Report adds a problem with the position of the value at the path, or of the
// nearest enclosing value that exists.
func (s *Source) Report(path Path, expected, format string, args ...any) {
	s.addProblem(path, s.positionAt(path), expected, format, args...)
}

// Err returns the Problems found so far, or nil.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	return s.problems.sortedByPosition()
}

func (s *Source) addProblem(path Path, p Position, expected, format string, args ...any) {
	s.problems = append(s.problems, Problem{
		File:     s.file,
		Position: p,
		Path:     path.String(),
		Message:  fmt.Sprintf(format, args...),
		Expected: expected,
	})
}

func (s *Source) addSyntaxError(err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		s.addProblem(nil, Position{}, "", "%v", err)
		return
	}
	p := located.GetToken().Position
	s.addProblem(nil, Position{p.Line, p.Column}, "valid YAML", "%s", located.GetMessage())
}

// positionAt returns the position of the value at the path, or of the nearest
// enclosing value that exists.
func (s *Source) positionAt(path Path) Position {
	if s.root == nil {
		return Position{}
	}
	found, node := nodePosition(s.root), s.root
	for _, step := range path {
		next := childNode(node, step)
		if next == nil {
			break
		}
		node = next
		found = nodePosition(node)
	}
	return found
}

// childNode returns the value at a key or list index of a node, or nil.
func childNode(n ast.Node, step any) ast.Node {
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

// nodePosition returns the position at which the node starts. The token of a
// block mapping is the colon after its first key, so the position of that key is
// returned instead.
func nodePosition(n ast.Node) Position {
	switch v := n.(type) {
	case *ast.MappingNode:
		if !v.IsFlowStyle && len(v.Values) > 0 {
			return nodePosition(v.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return nodePosition(v.Key)
	case *ast.SequenceNode:
		if !v.IsFlowStyle && len(v.Values) > 0 {
			return nodePosition(v.Values[0])
		}
	}
	t := n.GetToken()
	if t == nil {
		return Position{}
	}
	return Position{t.Position.Line, t.Position.Column}
}

// describeNode describes a node for an error message.
func describeNode(n ast.Node) string {
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
