package decoder

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// format is a named form of strings.
type format struct {
	expected string
	valid    func(string) bool
}

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$`)
	sha256Digest = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// maxNameLength keeps store keys and log lines short.
const maxNameLength = 63

var formats = map[string]format{
	"name": {
		"a kebab-case name of at most 63 characters",
		func(s string) bool { return len(s) <= maxNameLength && namePattern.MatchString(s) },
	},
	"model": {
		"a model name of letters, digits and . _ / : -",
		modelPattern.MatchString,
	},
	"address": {
		"an IP address and port such as 127.0.1.1:8080",
		validAddress,
	},
	"sha256": {
		"64 lower-case hexadecimal digits",
		sha256Digest.MatchString,
	},
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func (s *Source) checkLength(path Path, n ast.Node, length int, rules reflect.StructTag) {
	least, err := strconv.Atoi(rules.Get("items"))
	if err != nil || length >= least {
		return
	}
	s.add(path, position(n), fmt.Sprintf("at least %d", least), "the list has %d items", length)
}

func (s *Source) checkString(path Path, n ast.Node, text string, rules reflect.StructTag) {
	if allowed := rules.Get("oneof"); allowed != "" && !slices.Contains(strings.Fields(allowed), text) {
		s.add(path, position(n), expectation(reflect.TypeFor[string](), rules), "%q is not accepted here", text)
	}
	if name := rules.Get("format"); name != "" && !formats[name].valid(text) {
		s.add(path, position(n), formats[name].expected, "%q is malformed", text)
	}
}

func (s *Source) checkRange(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	low, high := rules.Get("min"), rules.Get("max")
	if (low == "" || number(v) >= bound(v.Type(), low)) && (high == "" || number(v) <= bound(v.Type(), high)) {
		return
	}
	s.add(path, position(n), expectation(v.Type(), rules), "%s is out of range", n.GetToken().Value)
}

func number(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

// bound parses the bound of a range tag; a malformed tag is a programming
// error.
func bound(t reflect.Type, text string) float64 {
	v := reflect.New(t)
	var err error
	switch u := v.Interface().(type) {
	case *time.Duration:
		*u, err = time.ParseDuration(text)
	case encoding.TextUnmarshaler:
		err = u.UnmarshalText([]byte(text))
	default:
		var f float64
		f, err = strconv.ParseFloat(text, 64)
		if err == nil {
			return f
		}
	}
	if err != nil {
		panic(fmt.Sprintf("decoder: range tag %q of type %s: %v", text, t, err))
	}
	return number(v.Elem())
}

// expectation describes the accepted values of a field.
func expectation(t reflect.Type, rules reflect.StructTag) string {
	if name := rules.Get("format"); name != "" && t.Kind() == reflect.String {
		return formats[name].expected
	}
	if allowed := rules.Get("oneof"); allowed != "" && t.Kind() == reflect.String {
		return "one of " + strings.Join(strings.Fields(allowed), ", ")
	}
	return kindName(t, rules) + rangeText(rules)
}

func kindName(t reflect.Type, rules reflect.StructTag) string {
	if t == durationType {
		return "a duration such as 30s"
	}
	if d, ok := reflect.Zero(t).Interface().(Describer); ok {
		return d.Describe()
	}
	switch t.Kind() {
	case reflect.Struct:
		return "a mapping"
	case reflect.Slice:
		return "a list, each item " + expectation(t.Elem(), rules)
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer"
	default:
		return "a number"
	}
}

func rangeText(rules reflect.StructTag) string {
	low, high := rules.Get("min"), rules.Get("max")
	switch {
	case low != "" && high != "":
		return fmt.Sprintf(" from %s to %s", low, high)
	case low != "":
		return " of at least " + low
	case high != "":
		return " of at most " + high
	default:
		return ""
	}
}
