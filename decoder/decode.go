package decoder

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Defaulter is implemented by structs that have default values. Decode calls
// SetDefaults before it decodes the struct.
type Defaulter interface {
	SetDefaults()
}

// Describer is implemented by types with a text form. Describe returns the
// accepted values for use in error messages, such as "a size such as 8MiB".
type Describer interface {
	Describe() string
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode decodes the document into v, a pointer to a struct, and adds every error
// to the problems of the source. A value that is only out of range or malformed
// is set nevertheless, so that later checks of references do not report it a
// second time.
func (s *Source) Decode(v any) {
	if s.root == nil {
		return
	}
	s.decode(nil, s.root, reflect.ValueOf(v).Elem(), "")
}

func (s *Source) decode(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	t := v.Type()
	switch {
	case t == durationType:
		s.decodeDuration(path, n, v, rules)
	case reflect.PointerTo(t).Implements(textUnmarshalerType):
		s.decodeText(path, n, v, rules)
	default:
		s.decodeKind(path, n, v, rules)
	}
}

func (s *Source) decodeKind(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	switch v.Kind() {
	case reflect.Struct:
		s.decodeStruct(path, n, v)
	case reflect.Slice:
		s.decodeList(path, n, v, rules)
	case reflect.String:
		s.decodeString(path, n, v, rules)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			s.addTypeMismatch(path, n, "true or false")
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64:
		s.decodeInt(path, n, v, rules)
	case reflect.Float64:
		s.decodeFloat(path, n, v, rules)
	default:
		panic(fmt.Sprintf("decoder: field %s has unsupported type %s", path, v.Type()))
	}
}

func (s *Source) decodeStruct(path Path, n ast.Node, v reflect.Value) {
	if d, ok := v.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
	m, ok := n.(ast.MapNode)
	if !ok {
		s.addTypeMismatch(path, n, "a mapping with the keys "+strings.Join(yamlKeys(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		s.decodeField(path, it, v, seen)
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if key := yamlKey(f); f.Tag.Get("required") == "true" && !seen[key] {
			s.addProblem(path.With(key), nodePosition(n), describeAccepted(f.Type, f.Tag), "the key %q is missing", key)
		}
	}
}

func (s *Source) decodeField(path Path, it *ast.MapNodeIter, v reflect.Value, seen map[string]bool) {
	key := it.Key().GetToken().Value
	keyPosition := nodePosition(it.Key())
	f, ok := fieldByKey(v.Type(), key)
	switch {
	case !ok:
		s.addProblem(path, keyPosition, "one of "+strings.Join(yamlKeys(v.Type()), ", "), "the key %q is unknown", key)
		return
	case seen[key]:
		s.addProblem(path, keyPosition, "unique keys", "the key %q is repeated", key)
		return
	}
	seen[key] = true
	s.decode(path.With(key), it.Value(), v.FieldByIndex(f.Index), f.Tag)
}

func (s *Source) decodeList(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	l, ok := n.(*ast.SequenceNode)
	if !ok {
		s.addTypeMismatch(path, n, describeAccepted(v.Type(), rules))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(l.Values), len(l.Values)))
	for i, item := range l.Values {
		s.decode(path.With(i), item, v.Index(i), rules)
	}
	s.checkLength(path, n, len(l.Values), rules)
}

func (s *Source) decodeString(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	text, ok := nodeText(n)
	if !ok {
		s.addTypeMismatch(path, n, describeAccepted(v.Type(), rules))
		return
	}
	v.SetString(text)
	s.checkString(path, n, text, rules)
}

func (s *Source) decodeInt(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		s.addTypeMismatch(path, n, describeAccepted(v.Type(), rules))
		return
	}
	switch value := i.Value.(type) {
	case int64:
		v.SetInt(value)
	case uint64:
		if value > 1<<63-1 {
			s.addProblem(path, nodePosition(n), describeAccepted(v.Type(), rules), "the integer %d is too large", value)
			return
		}
		v.SetInt(int64(value))
	}
	s.checkRange(path, n, v, rules)
}

func (s *Source) decodeFloat(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	switch value := n.(type) {
	case *ast.FloatNode:
		v.SetFloat(value.Value)
	case *ast.IntegerNode:
		switch i := value.Value.(type) {
		case int64:
			v.SetFloat(float64(i))
		case uint64:
			v.SetFloat(float64(i))
		}
	default:
		s.addTypeMismatch(path, n, describeAccepted(v.Type(), rules))
		return
	}
	s.checkRange(path, n, v, rules)
}

func (s *Source) decodeDuration(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	text, ok := nodeText(n)
	if !ok {
		s.addTypeMismatch(path, n, describeAccepted(v.Type(), rules))
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.addTypeMismatch(path, n, describeAccepted(v.Type(), rules))
		return
	}
	v.SetInt(int64(d))
	s.checkRange(path, n, v, rules)
}

func (s *Source) decodeText(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	text, ok := nodeText(n)
	if !ok {
		s.addTypeMismatch(path, n, describeAccepted(v.Type(), rules))
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		s.addProblem(path, nodePosition(n), describeAccepted(v.Type(), rules), "%v", err)
		return
	}
	if v.CanInt() {
		s.checkRange(path, n, v, rules)
	}
}

func (s *Source) addTypeMismatch(path Path, n ast.Node, expected string) {
	s.addProblem(path, nodePosition(n), expected, "%s is not accepted here", describeNode(n))
}

// nodeText returns the value of a string node, plain, quoted or block.
func nodeText(n ast.Node) (string, bool) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.LiteralNode:
		return v.Value.Value, true
	default:
		return "", false
	}
}

func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); key != "" && yamlKey(f) == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func yamlKeys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if key := yamlKey(t.Field(i)); key != "" {
			names = append(names, key)
		}
	}
	return names
}

// yamlKey returns the key of a field from its yaml tag. The options after a comma
// only affect encoding.
func yamlKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return key
}
