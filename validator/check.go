package validator

import (
	"math"

	"github.com/bergamotdale/bergamotdale/decoder"
)

// checker reports what a single field cannot show: repeated names and
// addresses, references to nothing, and sums.
type checker struct {
	doc *Document
	src *decoder.Source
	// first holds where each unique value was seen first, by kind and value.
	first map[unique]decoder.Path
}

type unique struct{ kind, value string }

func check(d *Document, src *decoder.Source) {
	c := &checker{doc: d, src: src, first: map[unique]decoder.Path{}}
	c.checkPriorityClasses()
	c.checkModels()
	c.checkEngines()
	c.checkServices()
	c.checkWorkspaces()
}

// once reports a value of the kind that was seen before. Empty values have
// been reported by the loader.
func (c *checker) once(kind, value string, path decoder.Path) {
	if value == "" {
		return
	}
	key := unique{kind, value}
	if first, ok := c.first[key]; ok {
		c.src.Report(path, "each "+kind+" once", "the %s %q is already used by %s", kind, value, first)
		return
	}
	c.first[key] = path
}

// reference reports a value that no earlier once call with the kind has seen.
func (c *checker) reference(kind, value string, path decoder.Path) {
	if _, ok := c.first[unique{kind, value}]; !ok && value != "" {
		c.src.Report(path, "a declared "+kind, "the %s %q is unknown", kind, value)
	}
}

func (c *checker) checkPriorityClasses() {
	levels := map[int]string{}
	sum := 0.0
	for i, p := range c.doc.PriorityClasses {
		path := decoder.At("priority-classes", i)
		c.once("priority class", p.Name, path.With("name"))
		if other, ok := levels[p.Level]; ok {
			c.src.Report(path.With("level"), "a level of its own", "level %d is already used by %q", p.Level, other)
		}
		levels[p.Level] = p.Name
		sum += p.MinShare
	}
	// The tolerance admits decimal fractions such as three times 1/3.
	const tolerance = 1e-9
	if sum > 1+tolerance {
		c.src.Report(decoder.At("priority-classes"), "a sum of at most 1",
			"the minimum shares add up to %g", math.Round(sum*1e6)/1e6)
	}
}

func (c *checker) checkModels() {
	for i, m := range c.doc.Models {
		c.once("model", m.Name, decoder.At("models", i, "name"))
	}
	// Adapters are resolved against models alone before their own names join
	// the same namespace: an adapter of an adapter is a fault.
	for i, a := range c.doc.Adapters {
		c.reference("model", a.Model, decoder.At("adapters", i, "model"))
	}
}

func (c *checker) checkEngines() {
	for i, e := range c.doc.Engines {
		path := decoder.At("engines", i)
		c.once("endpoint name", e.Name, path.With("name"))
		c.once("address", e.Address, path.With("address"))
		for j, m := range e.Models {
			c.reference("model", m, path.With("models", j))
		}
		c.repeated(e.Models, path.With("models"))
	}
	for i, a := range c.doc.Adapters {
		c.once("model", a.Name, decoder.At("adapters", i, "name"))
	}
}

func (c *checker) checkServices() {
	for i, s := range c.doc.Services {
		path := decoder.At("services", i)
		c.once("service", s.Name, path.With("name"))
		for j, e := range s.Endpoints {
			c.once("endpoint name", e.Name, path.With("endpoints", j, "name"))
			c.once("address", e.Address, path.With("endpoints", j, "address"))
		}
		names := make([]string, len(s.Calls))
		for j, call := range s.Calls {
			names[j] = call.Name
		}
		c.repeated(names, path.With("calls"))
	}
}

func (c *checker) checkWorkspaces() {
	for i, w := range c.doc.Workspaces {
		path := decoder.At("workspaces", i)
		c.once("workspace", w.Name, path.With("name"))
		c.reference("priority class", w.DefaultPriorityClass, path.With("default-priority-class"))
		for j, m := range w.Models {
			c.reference("model", m, path.With("models", j))
		}
		c.repeated(w.Models, path.With("models"))
		for j, k := range w.APIKeys {
			c.once("API key hash", k, path.With("api-keys", j))
		}
	}
}

// repeated reports values that appear twice in one list.
func (c *checker) repeated(values []string, path decoder.Path) {
	seen := map[string]bool{}
	for i, v := range values {
		if v != "" && seen[v] {
			c.src.Report(path.With(i), "each item once", "%q is repeated", v)
		}
		seen[v] = true
	}
}
