package validator

import (
	"math"

	"github.com/bergamotdale/bergamotdale/decoder"
)

// checker reports problems that involve several fields: duplicate names and
// addresses, references to undeclared names, and sums that are out of range.
type checker struct {
	doc    *Document
	source *decoder.Source
	// firstPaths holds the path at which each unique value occurs first.
	firstPaths map[uniqueValue]decoder.Path
}

// uniqueValue identifies a value that may occur only once in a document. The kind
// is, for example, "model" or "address".
type uniqueValue struct{ kind, value string }

// checkDocument reports to the source every problem that involves several fields.
func checkDocument(d *Document, source *decoder.Source) {
	c := &checker{doc: d, source: source, firstPaths: map[uniqueValue]decoder.Path{}}
	c.checkPriorityClasses()
	c.checkModels()
	c.checkEngines()
	c.checkServices()
	c.checkWorkspaces()
}

// checkUnique reports a value whose kind and text have occurred before. Empty
// values are ignored, because the decoder has already reported them.
func (c *checker) checkUnique(kind, value string, path decoder.Path) {
	if value == "" {
		return
	}
	key := uniqueValue{kind, value}
	if first, ok := c.firstPaths[key]; ok {
		c.source.Report(path, "a unique "+kind, "the %s %q is already used by %s", kind, value, first)
		return
	}
	c.firstPaths[key] = path
}

// checkReference reports a value that no earlier call of checkUnique has declared
// under this kind.
func (c *checker) checkReference(kind, value string, path decoder.Path) {
	if _, ok := c.firstPaths[uniqueValue{kind, value}]; !ok && value != "" {
		c.source.Report(path, "a declared "+kind, "the %s %q is unknown", kind, value)
	}
}

func (c *checker) checkPriorityClasses() {
	levels := map[int]string{}
	sum := 0.0
	for i, p := range c.doc.PriorityClasses {
		path := decoder.NewPath("priority-classes", i)
		c.checkUnique("priority class", p.Name, path.With("name"))
		if other, ok := levels[p.Level]; ok {
			c.source.Report(path.With("level"), "a unique level", "level %d is already used by %q", p.Level, other)
		}
		levels[p.Level] = p.Name
		sum += p.MinShare
	}
	// The tolerance allows for the rounding of fractions such as three times 1/3.
	const tolerance = 1e-9
	if sum > 1+tolerance {
		c.source.Report(decoder.NewPath("priority-classes"), "a sum of at most 1",
			"the minimum shares add up to %g", math.Round(sum*1e6)/1e6)
	}
}

func (c *checker) checkModels() {
	for i, model := range c.doc.Models {
		c.checkUnique("model", model.Name, decoder.NewPath("models", i, "name"))
	}
	// Adapters share the namespace of the models but may only refer to a model.
	// Their references are therefore checked before checkEngines adds the names
	// of the adapters, so that an adapter of an adapter is reported.
	for i, a := range c.doc.Adapters {
		c.checkReference("model", a.Model, decoder.NewPath("adapters", i, "model"))
	}
}

func (c *checker) checkEngines() {
	for i, e := range c.doc.Engines {
		path := decoder.NewPath("engines", i)
		c.checkUnique("endpoint name", e.Name, path.With("name"))
		c.checkUnique("address", e.Address, path.With("address"))
		for j, m := range e.Models {
			c.checkReference("model", m, path.With("models", j))
		}
		c.checkDistinct(e.Models, path.With("models"))
	}
	for i, a := range c.doc.Adapters {
		c.checkUnique("model", a.Name, decoder.NewPath("adapters", i, "name"))
	}
}

func (c *checker) checkServices() {
	for i, s := range c.doc.Services {
		path := decoder.NewPath("services", i)
		c.checkUnique("service", s.Name, path.With("name"))
		for j, e := range s.Endpoints {
			c.checkUnique("endpoint name", e.Name, path.With("endpoints", j, "name"))
			c.checkUnique("address", e.Address, path.With("endpoints", j, "address"))
		}
		names := make([]string, len(s.Calls))
		for j, call := range s.Calls {
			names[j] = call.Name
		}
		c.checkDistinct(names, path.With("calls"))
	}
}

func (c *checker) checkWorkspaces() {
	for i, w := range c.doc.Workspaces {
		path := decoder.NewPath("workspaces", i)
		c.checkUnique("workspace", w.Name, path.With("name"))
		c.checkReference("priority class", w.DefaultPriorityClass, path.With("default-priority-class"))
		for j, m := range w.Models {
			c.checkReference("model", m, path.With("models", j))
		}
		c.checkDistinct(w.Models, path.With("models"))
		for j, k := range w.APIKeys {
			c.checkUnique("API key hash", k, path.With("api-keys", j))
		}
	}
}

// checkDistinct reports values that occur more than once in one list.
func (c *checker) checkDistinct(values []string, path decoder.Path) {
	seen := map[string]bool{}
	for i, v := range values {
		if v != "" && seen[v] {
			c.source.Report(path.With(i), "distinct items", "the item %q is repeated", v)
		}
		seen[v] = true
	}
}
