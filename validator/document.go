package validator

import (
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/decoder"
)

// Document is the configuration as operators write it.
type Document struct {
	PriorityClasses []PriorityClassSpec `yaml:"priority-classes" json:"priority-classes" required:"true" items:"1"`
	Models          []ModelSpec         `yaml:"models" json:"models"`
	Adapters        []AdapterSpec       `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Engines         []EngineSpec        `yaml:"engines" json:"engines"`
	Services        []ServiceSpec       `yaml:"services,omitempty" json:"services,omitempty"`
	Workspaces      []WorkspaceSpec     `yaml:"workspaces" json:"workspaces"`
	Limits          LimitsSpec          `yaml:"limits" json:"limits"`
}

// PriorityClassSpec declares a priority class.
type PriorityClassSpec struct {
	Name string `yaml:"name" json:"name" required:"true" format:"name"`
	// Level orders the classes: the lowest level is served first.
	Level int `yaml:"level" json:"level" required:"true" min:"0" max:"100"`
	// MinShare is the fraction of each endpoint's capacity that is guaranteed to
	// the class, however many requests the other classes have.
	MinShare float64 `yaml:"min-share" json:"min-share" required:"true" min:"0" max:"1"`
	// MaxWait is the longest expected wait for which a request is queued.
	MaxWait time.Duration `yaml:"max-wait" json:"max-wait" required:"true" min:"10ms" max:"1h"`
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget time.Duration `yaml:"first-token-target" json:"first-token-target" required:"true" min:"10ms" max:"1h"`
}

// ModelSpec declares a model.
type ModelSpec struct {
	Name string `yaml:"name" json:"name" required:"true" format:"model"`
}

// AdapterSpec declares an adapter. Every engine of its model serves it.
type AdapterSpec struct {
	Name  string `yaml:"name" json:"name" required:"true" format:"model"`
	Model string `yaml:"model" json:"model" required:"true" format:"model"`
}

// EngineSpec declares a model engine.
type EngineSpec struct {
	Name          string   `yaml:"name" json:"name" required:"true" format:"name"`
	Address       string   `yaml:"address" json:"address" required:"true" format:"address"`
	FailureDomain string   `yaml:"failure-domain" json:"failure-domain" required:"true" format:"name"`
	Models        []string `yaml:"models" json:"models" required:"true" items:"1" format:"model"`
	// MaxConcurrency is the upper bound of the engine's adaptive concurrency
	// limit.
	MaxConcurrency int `yaml:"max-concurrency" json:"max-concurrency" required:"true" min:"1" max:"4096"`
	// ChecksFencingTokens is true for an engine that rejects commands with a
	// stale fencing token.
	ChecksFencingTokens bool `yaml:"checks-fencing-tokens" json:"checks-fencing-tokens"`
}

// ServiceSpec declares a plain service, which answers calls by name.
type ServiceSpec struct {
	Name      string         `yaml:"name" json:"name" required:"true" format:"name"`
	Endpoints []EndpointSpec `yaml:"endpoints" json:"endpoints" required:"true" items:"1"`
	Calls     []CallSpec     `yaml:"calls" json:"calls" required:"true" items:"1"`
}

// EndpointSpec declares one endpoint of a plain service.
type EndpointSpec struct {
	Name          string `yaml:"name" json:"name" required:"true" format:"name"`
	Address       string `yaml:"address" json:"address" required:"true" format:"address"`
	FailureDomain string `yaml:"failure-domain" json:"failure-domain" required:"true" format:"name"`
}

// CallSpec declares a call of a plain service.
type CallSpec struct {
	Name string `yaml:"name" json:"name" required:"true" format:"name"`
	// Idempotent reports whether the call may be executed more than once. It has
	// no default: a wrong one would either execute a call twice or write calls
	// to the store that can be repeated without harm.
	Idempotent bool `yaml:"idempotent" json:"idempotent" required:"true"`
}

// WorkspaceSpec declares a workspace.
type WorkspaceSpec struct {
	Name string `yaml:"name" json:"name" required:"true" format:"name"`
	// Weight is the relative share of the workspace within a priority class.
	Weight float64 `yaml:"weight" json:"weight" required:"true" min:"0.01" max:"1000"`
	// TokensPerSecond is the quota of input and output tokens.
	TokensPerSecond int `yaml:"tokens-per-second" json:"tokens-per-second" required:"true" min:"1" max:"100000000"`
	// Models lists the models and adapters that the workspace may use. All are
	// allowed if the key is absent.
	Models []string `yaml:"models,omitempty" json:"models,omitempty" items:"1" format:"model"`
	// DefaultPriorityClass is the class of requests without a priority header.
	DefaultPriorityClass string `yaml:"default-priority-class" json:"default-priority-class" required:"true" format:"name"`
	// APIKeys holds the SHA-256 hashes of the workspace's API keys.
	APIKeys []string `yaml:"api-keys,omitempty" json:"api-keys,omitempty" format:"sha256"`
}

// LimitsSpec declares limits that apply to the whole fleet.
type LimitsSpec struct {
	// LoadMultiple is the largest load of an engine as a multiple of the mean
	// load of its model group.
	LoadMultiple float64 `yaml:"load-multiple" json:"load-multiple" min:"1.01" max:"4"`
	// MaxStreamDuration is the longest accepted duration of a stream.
	MaxStreamDuration time.Duration `yaml:"max-stream-duration" json:"max-stream-duration" min:"1s" max:"6h"`
	// RetryRatio is the number of retries that each first attempt adds to the
	// retry budget, usually a fraction.
	RetryRatio float64 `yaml:"retry-ratio" json:"retry-ratio" min:"0" max:"1"`
	// QuarantineCount is the number of crashes after which requests with the
	// same fingerprint are rejected for QuarantineDuration.
	QuarantineCount    int           `yaml:"quarantine-count" json:"quarantine-count" min:"1" max:"100"`
	QuarantineDuration time.Duration `yaml:"quarantine-duration" json:"quarantine-duration" min:"1s" max:"24h"`
	// IdempotencyRecordLifetime is the time for which a request with a repeated
	// idempotency key gets the recorded response.
	IdempotencyRecordLifetime time.Duration `yaml:"idempotency-record-lifetime" json:"idempotency-record-lifetime" min:"1m" max:"168h"`
}

// SetDefaults implements decoder.Defaulter.
func (l *LimitsSpec) SetDefaults() {
	l.LoadMultiple = 1.25
	l.MaxStreamDuration = 10 * time.Minute
	l.RetryRatio = 0.1
	l.QuarantineCount = 3
	l.QuarantineDuration = 10 * time.Minute
	l.IdempotencyRecordLifetime = 24 * time.Hour
}

// SetDefaults implements decoder.Defaulter.
func (d *Document) SetDefaults() {
	d.Limits.SetDefaults()
}

// Rule is an additional check of a document. It reports problems to the source.
type Rule func(*Document, *decoder.Source)

// Parse reads a document and checks it, also against the additional rules. An
// error is a decoder.Problems with every problem of the document.
func Parse(file string, data []byte, rules ...Rule) (*Document, error) {
	source := decoder.Parse(file, data)
	d := &Document{}
	source.Decode(d)
	checkDocument(d, source)
	for _, rule := range rules {
		rule(d, source)
	}
	if err := source.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// YAML returns the document in the form that operators write. Comments of the
// original text are not preserved.
func (d *Document) YAML() ([]byte, error) {
	text, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))
	return text, errors.Trace(err)
}
