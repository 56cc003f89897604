// Package differ lists the differences between two configuration documents, field
// by field, for operators who review a change.
package differ

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/bergamotdale/bergamotdale/validator"
)

// Difference is one value that differs between two documents. Items of lists are
// matched by name, so a changed order of items is not a difference.
type Difference struct {
	// Path locates the value, for example workspaces[han-river-hotel].weight.
	Path string `json:"path"`
	// Before and After are the values in the two documents. Before is empty for an
	// added item or list, After for a removed one.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as one line, marked with + for an added, - for a
// removed and ~ for a changed value.
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

// Compare returns the differences in the order of the fields of Document.
func Compare(before, after *validator.Document) []Difference {
	var c comparer
	c.compare("", reflect.ValueOf(*before), reflect.ValueOf(*after))
	return c.found
}

// comparer collects the differences.
type comparer struct{ found []Difference }

// compare adds the differences between two values of the same type at path.
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
		beforeText, afterText := renderOptional(before), renderOptional(after)
		if afterText != beforeText {
			c.found = append(c.found, Difference{path, beforeText, afterText})
		}
	}
}

// compareItems adds the differences between two lists whose items have names.
func (c *comparer) compareItems(path string, before, after reflect.Value) {
	afterByName := itemsByName(after)
	beforeByName := itemsByName(before)
	for i := range before.Len() {
		item := before.Index(i)
		itemPath := fmt.Sprintf("%s[%s]", path, name(item))
		if other, ok := afterByName[name(item)]; ok {
			c.compare(itemPath, item, other)
			continue
		}
		c.found = append(c.found, Difference{Path: itemPath, Before: render(item)})
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

// join appends the key of a yaml tag to a path.
func join(path, tag string) string {
	key, _, _ := strings.Cut(tag, ",")
	if path == "" {
		return key
	}
	return path + "." + key
}

// renderOptional is like render but returns "" for a nil list: a list that is left
// out of the document has another meaning than an empty one.
func renderOptional(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.IsNil() {
		return ""
	}
	return render(v)
}

// render returns a value as one line: {key: value, ...} or [item, ...].
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
