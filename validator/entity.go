package validator

import (
	"math/bits"
	"slices"
	"time"
)

// PriorityClass is a compiled priority class.
type PriorityClass struct {
	spec PriorityClassSpec
	// rank is the index in the order of levels; 0 is served first.
	rank int
}

// Name returns the name.
func (p *PriorityClass) Name() string { return p.spec.Name }

// Level returns the configured level; the lowest is served first.
func (p *PriorityClass) Level() int { return p.spec.Level }

// Rank returns the index of the class among all classes by level.
func (p *PriorityClass) Rank() int { return p.rank }

// MinShare returns the guaranteed part of an endpoint's capacity.
func (p *PriorityClass) MinShare() float64 { return p.spec.MinShare }

// MaxWait returns the longest expected wait with which a request is queued.
func (p *PriorityClass) MaxWait() time.Duration { return p.spec.MaxWait }

// FirstTokenTarget returns the goal for the time to the first token.
func (p *PriorityClass) FirstTokenTarget() time.Duration { return p.spec.FirstTokenTarget }

// Model is a compiled model or adapter.
type Model struct {
	name string
	// index is the place of the model in Config.Models.
	index int
	// group is the model whose engines serve it: the model itself, or the
	// model of an adapter.
	group *Model
	// engines and engineNames are in the order of names; set on groups.
	engines     []*Engine
	engineNames []string
}

// Name returns the name that requests use.
func (m *Model) Name() string { return m.name }

// Adapter reports whether this is an adapter of another model.
func (m *Model) Adapter() bool { return m.group != m }

// Group returns the name of the model group: all engines that serve the base
// model, and hence its adapters.
func (m *Model) Group() string { return m.group.name }

// Engines returns the engines of the group by name. The caller does not change
// the slice.
func (m *Model) Engines() []*Engine { return m.group.engines }

// EngineNames returns the names of Engines. The caller does not change the
// slice.
func (m *Model) EngineNames() []string { return m.group.engineNames }

// Engine is a compiled model engine.
type Engine struct {
	spec   EngineSpec
	models []*Model
}

// Name returns the endpoint name.
func (e *Engine) Name() string { return e.spec.Name }

// Address returns host:port.
func (e *Engine) Address() string { return e.spec.Address }

// FailureDomain returns the failure domain.
func (e *Engine) FailureDomain() string { return e.spec.FailureDomain }

// Models returns the models whose groups the engine belongs to. The caller
// does not change the slice.
func (e *Engine) Models() []*Model { return e.models }

// MaxConcurrency bounds the concurrency limit of the engine.
func (e *Engine) MaxConcurrency() int { return e.spec.MaxConcurrency }

// ChecksFencingTokens reports whether the engine rejects stale tokens.
func (e *Engine) ChecksFencingTokens() bool { return e.spec.ChecksFencingTokens }

// Service is a compiled plain service.
type Service struct {
	name          string
	endpoints     []*ServiceEndpoint
	endpointNames []string
	calls         map[string]*Call
}

// Name returns the name.
func (s *Service) Name() string { return s.name }

// Endpoints returns the endpoints by name. The caller does not change the
// slice.
func (s *Service) Endpoints() []*ServiceEndpoint { return s.endpoints }

// EndpointNames returns the names of Endpoints. The caller does not change the
// slice.
func (s *Service) EndpointNames() []string { return s.endpointNames }

// Call returns the call with the name.
func (s *Service) Call(name string) (*Call, bool) {
	c, ok := s.calls[name]
	return c, ok
}

// ServiceEndpoint is a compiled endpoint of a plain service.
type ServiceEndpoint struct {
	spec    EndpointSpec
	service *Service
}

// Name returns the endpoint name.
func (e *ServiceEndpoint) Name() string { return e.spec.Name }

// Address returns host:port.
func (e *ServiceEndpoint) Address() string { return e.spec.Address }

// FailureDomain returns the failure domain.
func (e *ServiceEndpoint) FailureDomain() string { return e.spec.FailureDomain }

// Service returns the service of the endpoint.
func (e *ServiceEndpoint) Service() *Service { return e.service }

// Call is a compiled call of a plain service.
type Call struct{ spec CallSpec }

// Name returns the name.
func (c *Call) Name() string { return c.spec.Name }

// Idempotent reports whether the call may be repeated.
func (c *Call) Idempotent() bool { return c.spec.Idempotent }

// Workspace is a compiled workspace.
type Workspace struct {
	spec  WorkspaceSpec
	class *PriorityClass
	// models is the set of the indices of allowed models; nil if every model
	// is allowed.
	models []uint
}

// Name returns the name.
func (w *Workspace) Name() string { return w.spec.Name }

// Weight returns the weight within a priority class.
func (w *Workspace) Weight() float64 { return w.spec.Weight }

// TokensPerSecond returns the quota.
func (w *Workspace) TokensPerSecond() int { return w.spec.TokensPerSecond }

// DefaultPriorityClass returns the class of requests that name none.
func (w *Workspace) DefaultPriorityClass() *PriorityClass { return w.class }

// Allows reports whether the workspace may use the model or adapter, which
// belongs to the same Config.
func (w *Workspace) Allows(m *Model) bool {
	return w.models == nil || w.models[m.index/bits.UintSize]&(1<<(m.index%bits.UintSize)) != 0
}

// HasAPIKeys reports whether requests of the workspace need an API key.
func (w *Workspace) HasAPIKeys() bool {
	return len(w.spec.APIKeys) > 0
}

// AllowedModels returns the allowed names, or nil if every model is allowed.
func (w *Workspace) AllowedModels() []string { return slices.Clone(w.spec.Models) }

// Limits holds the limits of the whole fleet. It is a value; changing a copy
// changes nothing else.
type Limits = LimitsSpec
