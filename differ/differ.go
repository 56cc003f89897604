// Package differ lists the differences between two configuration documents.
package differ

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/bergamotdale/bergamotdale/validator"
)

// Difference is one value that differs between two documents. Items of lists
// are identified by their names, so that moving an item is no difference.
type Difference struct {
	// Path is, for example, workspaces[han-river-hotel].weight.
	Path string `json:"path"`
	// Before is empty for an added and After for a removed item or list.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference in one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return "+ " + d.Path + ": " + d.After
	case d.After == "":
		return "- " + d.Path + ": " + d.Before
	default:
		return "~ " + d.Path + ": " + d.Before + " -> " + d.After
	}
}

// Compare lists the differences in the order of the document's fields.
func Compare(before, after *validator.Document) []Difference {
	var c comparer
	c.compare("", reflect.ValueOf(*before), reflect.ValueOf(*after))
	return c.found
}

type comparer struct{ found []Difference }

func (c *comparer) compare(path string, before, after reflect.Value) {
	t := before.Type()
	switch {
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			c.compare(join(path, t.Field(i).Tag.Get("yaml")), before.Field(i), after.Field(i))
		}
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		c.compareItems(path, before, after)
	default:
		b, a := renderOptional(before), renderOptional(after)
		if a != b {
			c.found = append(c.found, Difference{path, b, a})
		}
	}
}

func (c *comparer) compareItems(path string, before, after reflect.Value) {
	afterByName := itemsByName(after)
	beforeByName := itemsByName(before)
	for i := range before.Len() {
		item := before.Index(i)
		at := fmt.Sprintf("%s[%s]", path, name(item))
		if other, ok := afterByName[name(item)]; ok {
			c.compare(at, item, other)
			continue
		}
		c.found = append(c.found, Difference{Path: at, Before: render(item)})
	}
	for i := range after.Len() {
		item := after.Index(i)
		if _, ok := beforeByName[name(item)]; !ok {
			c.found = append(c.found, Difference{Path: fmt.Sprintf("%s[%s]", path, name(item)), After: render(item)})
		}
	}
}

// name returns the Name field, which every struct in a list of a Document has.
func name(item reflect.Value) string {
	return item.FieldByName("Name").String()
}

func itemsByName(list reflect.Value) map[string]reflect.Value {
	items := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		items[name(list.Index(i))] = list.Index(i)
	}
	return items
}

func join(path, tag string) string {
	key, _, _ := strings.Cut(tag, ",")
	if path == "" {
		return key
	}
	return path + "." + key
}

// renderOptional renders a list that is left out as nothing: it means another
// thing than an empty list.
func renderOptional(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.IsNil() {
		return ""
	}
	return render(v)
}

// render returns a value in one line: {key: value, ...} or [item, ...].
func render(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Struct:
		parts := make([]string, v.NumField())
		for i := range parts {
			parts[i] = join("", v.Type().Field(i).Tag.Get("yaml")) + ": " + render(v.Field(i))
		}
		return "{" + strings.Join(parts, ", ") + "}"
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = render(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	default:
		return fmt.Sprint(v.Interface())
	}
}
