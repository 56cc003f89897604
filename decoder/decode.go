package decoder

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Defaulter sets the defaults of a struct before it is decoded.
type Defaulter interface {
	SetDefaults()
}

// Describer names the accepted values of a type with a text form, as in "a
// size such as 8MiB".
type Describer interface {
	Describe() string
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	unmarshaler  = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode fills v, a pointer to a struct, and keeps every fault as a problem.
// Values that are at fault only by range or format are set nevertheless, so
// that later checks of references do not report them a second time.
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
	case reflect.PointerTo(t).Implements(unmarshaler):
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
			s.mismatch(path, n, "true or false")
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
		s.mismatch(path, n, "a mapping with the keys "+strings.Join(keys(v.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		s.decodeField(path, it, v, seen)
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if key := yamlKey(f); f.Tag.Get("required") == "true" && !seen[key] {
			s.add(path.With(key), position(n), expectation(f.Type, f.Tag), "the key %q is missing", key)
		}
	}
}

func (s *Source) decodeField(path Path, it *ast.MapNodeIter, v reflect.Value, seen map[string]bool) {
	key := it.Key().GetToken().Value
	at := position(it.Key())
	f, ok := field(v.Type(), key)
	switch {
	case !ok:
		s.add(path, at, "one of "+strings.Join(keys(v.Type()), ", "), "the key %q is unknown", key)
		return
	case seen[key]:
		s.add(path, at, "each key once", "the key %q is repeated", key)
		return
	}
	seen[key] = true
	s.decode(path.With(key), it.Value(), v.FieldByIndex(f.Index), f.Tag)
}

func (s *Source) decodeList(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	l, ok := n.(*ast.SequenceNode)
	if !ok {
		s.mismatch(path, n, expectation(v.Type(), rules))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(l.Values), len(l.Values)))
	for i, item := range l.Values {
		s.decode(path.With(i), item, v.Index(i), rules)
	}
	s.checkLength(path, n, len(l.Values), rules)
}

func (s *Source) decodeString(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	text, ok := text(n)
	if !ok {
		s.mismatch(path, n, expectation(v.Type(), rules))
		return
	}
	v.SetString(text)
	s.checkString(path, n, text, rules)
}

func (s *Source) decodeInt(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		s.mismatch(path, n, expectation(v.Type(), rules))
		return
	}
	switch value := i.Value.(type) {
	case int64:
		v.SetInt(value)
	case uint64:
		if value > 1<<63-1 {
			s.add(path, position(n), expectation(v.Type(), rules), "the integer %d is too large", value)
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
		s.mismatch(path, n, expectation(v.Type(), rules))
		return
	}
	s.checkRange(path, n, v, rules)
}

func (s *Source) decodeDuration(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	text, ok := text(n)
	if !ok {
		s.mismatch(path, n, expectation(v.Type(), rules))
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.mismatch(path, n, expectation(v.Type(), rules))
		return
	}
	v.SetInt(int64(d))
	s.checkRange(path, n, v, rules)
}

func (s *Source) decodeText(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	text, ok := text(n)
	if !ok {
		s.mismatch(path, n, expectation(v.Type(), rules))
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		s.add(path, position(n), expectation(v.Type(), rules), "%v", err)
		return
	}
	if v.CanInt() {
		s.checkRange(path, n, v, rules)
	}
}

func (s *Source) mismatch(path Path, n ast.Node, expected string) {
	s.add(path, position(n), expected, "%s is not accepted here", describe(n))
}

func text(n ast.Node) (string, bool) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.LiteralNode:
		return v.Value.Value, true
	default:
		return "", false
	}
}

func field(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); key != "" && yamlKey(f) == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func keys(t reflect.Type) []string {
	var all []string
	for i := range t.NumField() {
		if key := yamlKey(t.Field(i)); key != "" {
			all = append(all, key)
		}
	}
	return all
}

// yamlKey returns the key of a field; options after a comma concern encoding.
func yamlKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return key
}
