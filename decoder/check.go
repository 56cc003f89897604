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

// stringFormat is a format of strings that a field selects by its format tag.
type stringFormat struct {
	expected string
	isValid  func(string) bool
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// maxNameLength limits names, so that the store keys and log lines that contain
// them stay short.
const maxNameLength = 63

// formats holds the string formats by the name that a format tag uses.
var formats = map[string]stringFormat{
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
		isValidAddress,
	},
	"sha256": {
		"64 lower-case hexadecimal digits",
		sha256Pattern.MatchString,
	},
}

func isValidAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func (s *Source) checkLength(path Path, n ast.Node, length int, rules reflect.StructTag) {
	minItems, err := strconv.Atoi(rules.Get("items"))
	if err != nil || length >= minItems {
		return
	}
	s.addProblem(path, nodePosition(n), fmt.Sprintf("at least %d", minItems), "the list has %d items", length)
}

func (s *Source) checkString(path Path, n ast.Node, text string, rules reflect.StructTag) {
	if allowed := rules.Get("oneof"); allowed != "" && !slices.Contains(strings.Fields(allowed), text) {
		s.addProblem(path, nodePosition(n), describeAccepted(reflect.TypeFor[string](), rules), "%q is not accepted here", text)
	}
	if name := rules.Get("format"); name != "" && !formats[name].isValid(text) {
		s.addProblem(path, nodePosition(n), formats[name].expected, "%q is malformed", text)
	}
}

func (s *Source) checkRange(path Path, n ast.Node, v reflect.Value, rules reflect.StructTag) {
	low, high := rules.Get("min"), rules.Get("max")
	if (low == "" || numericValue(v) >= parseBound(v.Type(), low)) && (high == "" || numericValue(v) <= parseBound(v.Type(), high)) {
		return
	}
	s.addProblem(path, nodePosition(n), describeAccepted(v.Type(), rules), "%s is out of range", n.GetToken().Value)
}

func numericValue(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

// parseBound parses the value of a min or max tag as the type of the field. A
// malformed tag is a programming error and panics.
func parseBound(t reflect.Type, text string) float64 {
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
		panic(fmt.Sprintf("decoder: malformed min or max tag %q of type %s: %v", text, t, err))
	}
	return numericValue(v.Elem())
}

// describeAccepted describes the values that a field of the type with these tags
// accepts.
func describeAccepted(t reflect.Type, rules reflect.StructTag) string {
	if name := rules.Get("format"); name != "" && t.Kind() == reflect.String {
		return formats[name].expected
	}
	if allowed := rules.Get("oneof"); allowed != "" && t.Kind() == reflect.String {
		return "one of " + strings.Join(strings.Fields(allowed), ", ")
	}
	return describeType(t, rules) + describeRange(rules)
}

func describeType(t reflect.Type, rules reflect.StructTag) string {
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
		return "a list, each item " + describeAccepted(t.Elem(), rules)
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

func describeRange(rules reflect.StructTag) string {
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
