package validator

import (
	"math/bits"
	"slices"
	"time"
)

// PriorityClass is a compiled priority class.
type PriorityClass struct {
	spec PriorityClassSpec
	// rank is the index of the class in ascending order of level; 0 is served
	// first.
	rank int
}

// Name returns the name.
func (p *PriorityClass) Name() string { return p.spec.Name }

// Level returns the configured level. The class with the lowest is served first.
func (p *PriorityClass) Level() int { return p.spec.Level }

// Rank returns the index of the class in Config.PriorityClasses.
func (p *PriorityClass) Rank() int { return p.rank }

// MinShare returns the fraction of each endpoint's capacity that is guaranteed to
// the class.
func (p *PriorityClass) MinShare() float64 { return p.spec.MinShare }

// MaxWait returns the longest expected wait for which a request is queued.
func (p *PriorityClass) MaxWait() time.Duration { return p.spec.MaxWait }

// FirstTokenTarget returns the target for the time to the first token.
func (p *PriorityClass) FirstTokenTarget() time.Duration { return p.spec.FirstTokenTarget }

// Model is a compiled model or adapter.
type Model struct {
	name string
	// index is the index of the model in Config.Models.
	index int
	// group is the base model, whose engines serve this model: for an adapter
	// the model that it adapts, otherwise the model itself.
	group *Model
	// engines and engineNames are sorted by name. They are set only on base
	// models.
	engines     []*Engine
	engineNames []string
}

// Name returns the name that requests use.
func (m *Model) Name() string { return m.name }

// IsAdapter reports whether this is an adapter of another model.
func (m *Model) IsAdapter() bool { return m.group != m }

// GroupName returns the name of the base model, which names the model group: the
// engines that serve the base model and its adapters.
func (m *Model) GroupName() string { return m.group.name }

// Engines returns the engines of the model group sorted by name. The caller must
// not modify the slice.
func (m *Model) Engines() []*Engine { return m.group.engines }

// EngineNames returns the names of Engines in the same order. The caller must not
// modify the slice.
func (m *Model) EngineNames() []string { return m.group.engineNames }

// Engine is a compiled model engine.
type Engine struct {
	spec   EngineSpec
	models []*Model
}

// Name returns the endpoint name.
func (e *Engine) Name() string { return e.spec.Name }

// Address returns the address as host:port.
func (e *Engine) Address() string { return e.spec.Address }

// FailureDomain returns the failure domain.
func (e *Engine) FailureDomain() string { return e.spec.FailureDomain }

// Models returns the base models that the engine serves. The caller must not
// modify the slice.
func (e *Engine) Models() []*Model { return e.models }

// MaxConcurrency returns the upper bound of the engine's concurrency limit.
func (e *Engine) MaxConcurrency() int { return e.spec.MaxConcurrency }

// ChecksFencingTokens reports whether the engine rejects commands with a stale
// fencing token.
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

// Endpoints returns the endpoints sorted by name. The caller must not modify the
// slice.
func (s *Service) Endpoints() []*ServiceEndpoint { return s.endpoints }

// EndpointNames returns the names of Endpoints in the same order. The caller must
// not modify the slice.
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

// Address returns the address as host:port.
func (e *ServiceEndpoint) Address() string { return e.spec.Address }

// FailureDomain returns the failure domain.
func (e *ServiceEndpoint) FailureDomain() string { return e.spec.FailureDomain }

// Service returns the service that the endpoint belongs to.
func (e *ServiceEndpoint) Service() *Service { return e.service }

// Call is a compiled call of a plain service.
type Call struct{ spec CallSpec }

// Name returns the name.
func (c *Call) Name() string { return c.spec.Name }

// Idempotent reports whether the call may be executed more than once.
func (c *Call) Idempotent() bool { return c.spec.Idempotent }

// Workspace is a compiled workspace.
type Workspace struct {
	spec  WorkspaceSpec
	class *PriorityClass
	// models is the bit set of the allowed models by Model.index. It is nil if
	// every model is allowed.
	models []uint
}

// Name returns the name.
func (w *Workspace) Name() string { return w.spec.Name }

// Weight returns the relative share of the workspace within a priority class.
func (w *Workspace) Weight() float64 { return w.spec.Weight }

// TokensPerSecond returns the quota of input and output tokens per second.
func (w *Workspace) TokensPerSecond() int { return w.spec.TokensPerSecond }

// DefaultPriorityClass returns the class of requests without a priority header.
func (w *Workspace) DefaultPriorityClass() *PriorityClass { return w.class }

// Allows reports whether the workspace may use the model or adapter. Both must
// come from the same Config.
func (w *Workspace) Allows(m *Model) bool {
	return w.models == nil || w.models[m.index/bits.UintSize]&(1<<(m.index%bits.UintSize)) != 0
}

// HasAPIKeys reports whether requests of the workspace need an API key.
func (w *Workspace) HasAPIKeys() bool {
	return len(w.spec.APIKeys) > 0
}

// AllowedModels returns the names of the allowed models and adapters, or nil if
// every model is allowed.
func (w *Workspace) AllowedModels() []string { return slices.Clone(w.spec.Models) }

// Limits holds the limits that apply to the whole fleet. It holds no references,
// so a copy can be modified without effect on the Config.
type Limits = LimitsSpec
