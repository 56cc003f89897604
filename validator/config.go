package validator

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"github.com/bergamotdale/bergamotdale/decoder"
)

// Config is the compiled configuration of one revision. It is immutable.
type Config struct {
	revision int64
	limits   Limits

	classes    []*PriorityClass
	models     []*Model
	engines    []*Engine
	services   []*Service
	workspaces []*Workspace

	classByName     map[string]*PriorityClass
	modelByName     map[string]*Model
	engineByName    map[string]*Engine
	serviceByName   map[string]*Service
	endpointByName  map[string]*ServiceEndpoint
	workspaceByName map[string]*Workspace
	workspaceByKey  map[[sha256.Size]byte]*Workspace
}

// Compile returns the immutable form of a document. It repeats the checks for
// duplicates and undeclared references, because a document need not come from
// Parse: an inconsistent one is rejected with decoder.Problems instead of being
// compiled with missing parts.
func Compile(d *Document, revision int64) (*Config, error) {
	source := decoder.NewSource(fmt.Sprintf("revision %d", revision))
	checkDocument(d, source)
	if err := source.Err(); err != nil {
		return nil, err
	}
	c := &Config{revision: revision, limits: d.Limits}
	c.compileClasses(d)
	c.compileModels(d)
	c.compileEngines(d)
	c.compileServices(d)
	if err := c.compileWorkspaces(d); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) compileClasses(d *Document) {
	for _, s := range d.PriorityClasses {
		c.classes = append(c.classes, &PriorityClass{spec: s})
	}
	slices.SortFunc(c.classes, func(a, b *PriorityClass) int { return cmp.Compare(a.Level(), b.Level()) })
	for i, p := range c.classes {
		p.rank = i
	}
	c.classByName = lo.KeyBy(c.classes, (*PriorityClass).Name)
}

func (c *Config) compileModels(d *Document) {
	for _, s := range d.Models {
		m := &Model{name: s.Name}
		m.group = m
		c.models = append(c.models, m)
	}
	c.modelByName = lo.KeyBy(c.models, (*Model).Name)
	for _, s := range d.Adapters {
		a := &Model{name: s.Name, group: c.modelByName[s.Model]}
		c.models = append(c.models, a)
		c.modelByName[s.Name] = a
	}
	sortByName(c.models)
	for i, m := range c.models {
		m.index = i
	}
}

// modelSet returns the named models as a bit set over Model.index. For 3,500
// workspaces the bit sets take 28 KB; a map per workspace would take far more.
func (c *Config) modelSet(names []string) []uint {
	set := make([]uint, len(c.models)/bits.UintSize+1)
	for _, name := range names {
		i := c.modelByName[name].index
		set[i/bits.UintSize] |= 1 << (i % bits.UintSize)
	}
	return set
}

func (c *Config) compileEngines(d *Document) {
	for _, s := range d.Engines {
		c.engines = append(c.engines, &Engine{spec: s})
	}
	sortByName(c.engines)
	c.engineByName = lo.KeyBy(c.engines, (*Engine).Name)
	for _, e := range c.engines {
		for _, name := range e.spec.Models {
			m := c.modelByName[name]
			e.models = append(e.models, m)
			m.engines = append(m.engines, e)
			m.engineNames = append(m.engineNames, e.Name())
		}
	}
}

func (c *Config) compileServices(d *Document) {
	c.endpointByName = map[string]*ServiceEndpoint{}
	for _, spec := range d.Services {
		s := &Service{name: spec.Name, calls: map[string]*Call{}}
		for _, e := range spec.Endpoints {
			s.endpoints = append(s.endpoints, &ServiceEndpoint{e, s})
		}
		sortByName(s.endpoints)
		for _, e := range s.endpoints {
			s.endpointNames = append(s.endpointNames, e.Name())
			c.endpointByName[e.Name()] = e
		}
		for _, call := range spec.Calls {
			s.calls[call.Name] = &Call{call}
		}
		c.services = append(c.services, s)
	}
	sortByName(c.services)
	c.serviceByName = lo.KeyBy(c.services, (*Service).Name)
}

func (c *Config) compileWorkspaces(d *Document) error {
	c.workspaces = make([]*Workspace, 0, len(d.Workspaces))
	c.workspaceByKey = make(map[[sha256.Size]byte]*Workspace, len(d.Workspaces))
	for _, s := range d.Workspaces {
		w := &Workspace{spec: s, class: c.classByName[s.DefaultPriorityClass]}
		if s.Models != nil {
			w.models = c.modelSet(s.Models)
		}
		c.workspaces = append(c.workspaces, w)
		for _, k := range s.APIKeys {
			hash, err := hex.DecodeString(k)
			if err != nil || len(hash) != sha256.Size {
				return errors.Errorf("workspace %s: the API key hash %q is not a SHA-256 hash in hexadecimal digits", s.Name, k)
			}
			c.workspaceByKey[[sha256.Size]byte(hash)] = w
		}
	}
	sortByName(c.workspaces)
	c.workspaceByName = lo.KeyBy(c.workspaces, (*Workspace).Name)
	return nil
}

func sortByName[T interface{ Name() string }](items []T) {
	slices.SortFunc(items, func(a, b T) int { return strings.Compare(a.Name(), b.Name()) })
}

// Revision returns the revision of the configuration.
func (c *Config) Revision() int64 { return c.revision }

// Limits returns the limits that apply to the whole fleet.
func (c *Config) Limits() Limits { return c.limits }

// PriorityClasses returns the classes in ascending order of level; the index of a
// class is its Rank. The caller must not modify the slice.
func (c *Config) PriorityClasses() []*PriorityClass { return c.classes }

// Models returns the models and adapters sorted by name. The caller must not
// modify the slice.
func (c *Config) Models() []*Model { return c.models }

// Engines returns the engines sorted by name. The caller must not modify the
// slice.
func (c *Config) Engines() []*Engine { return c.engines }

// Services returns the services sorted by name. The caller must not modify the
// slice.
func (c *Config) Services() []*Service { return c.services }

// Workspaces returns the workspaces sorted by name. The caller must not modify
// the slice.
func (c *Config) Workspaces() []*Workspace { return c.workspaces }

// PriorityClass returns the class with the name.
func (c *Config) PriorityClass(name string) (*PriorityClass, bool) {
	p, ok := c.classByName[name]
	return p, ok
}

// Model returns the model or adapter with the name.
func (c *Config) Model(name string) (*Model, bool) {
	m, ok := c.modelByName[name]
	return m, ok
}

// Engine returns the engine whose endpoint has the name.
func (c *Config) Engine(name string) (*Engine, bool) {
	e, ok := c.engineByName[name]
	return e, ok
}

// Service returns the service with the name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.serviceByName[name]
	return s, ok
}

// ServiceEndpoint returns the endpoint of a service that has the name.
func (c *Config) ServiceEndpoint(name string) (*ServiceEndpoint, bool) {
	e, ok := c.endpointByName[name]
	return e, ok
}

// Workspace returns the workspace with the name.
func (c *Config) Workspace(name string) (*Workspace, bool) {
	w, ok := c.workspaceByName[name]
	return w, ok
}

// WorkspaceByAPIKey returns the workspace that owns the API key.
func (c *Config) WorkspaceByAPIKey(key string) (*Workspace, bool) {
	w, ok := c.workspaceByKey[sha256.Sum256([]byte(key))]
	return w, ok
}
