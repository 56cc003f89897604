package loader

import (
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/decoder"
)

// GatewaySettings are the process settings of a router that forwards requests
// by host and path. The platform fills in deploy/gateway.yaml.
type GatewaySettings struct {
	// ID is unique in the fleet and stable over restarts.
	ID            string        `yaml:"id" required:"true" format:"name"`
	FailureDomain string        `yaml:"failure-domain" required:"true" format:"name"`
	Listen        GatewayListen `yaml:"listen" required:"true"`
	// Store is the address of the platform's store.
	Store string `yaml:"store" required:"true" format:"address"`
	// Seeds are addresses of routers to contact first.
	Seeds    []string `yaml:"seeds" format:"address"`
	LogLevel string   `yaml:"log-level" oneof:"debug info warn error"`
	// Memory is the memory of the VM that this process may use.
	Memory Size `yaml:"memory" min:"32MiB" max:"1024GiB"`
	// StopDeadline is the time after SIGTERM at which the process is killed.
	StopDeadline time.Duration `yaml:"stop-deadline" min:"1s" max:"24h"`
	// Placement is a balancer.Policy.
	Placement string         `yaml:"placement" oneof:"shared-prefix consistent-hash least-load random"`
	Promises  GatewayPromise `yaml:"promises"`
}

// GatewayListen holds the addresses that a gateway serves on.
type GatewayListen struct {
	Clients   string `yaml:"clients" required:"true" format:"address"`
	Readiness string `yaml:"readiness" required:"true" format:"address"`
	Peers     string `yaml:"peers" required:"true" format:"address"`
	Metrics   string `yaml:"metrics" required:"true" format:"address"`
}

// GatewayPromise holds the bounds that the operators were promised.
type GatewayPromise struct {
	// KeyRevocation is the time in which a revoked API key stops working, zero
	// for no bound.
	KeyRevocation time.Duration `yaml:"key-revocation" min:"0s" max:"24h"`
	// LoadMultiple is the largest load of an endpoint relative to the mean.
	LoadMultiple float64 `yaml:"load-multiple" min:"1" max:"100"`
	// RetryRatio and RetrySlack bound the repeated sends to a service in any
	// 10 s: relative to its requests, and in addition.
	RetryRatio float64 `yaml:"retry-ratio" min:"0" max:"1"`
	RetrySlack float64 `yaml:"retry-slack" min:"0" max:"100000"`
}

// SetDefaults implements decoder.Defaulter.
func (s *GatewaySettings) SetDefaults() {
	s.LogLevel = "info"
	s.Memory = 256 << 20
	s.StopDeadline = 10 * time.Second
	s.Placement = string(balancer.SharedPrefix)
	s.Promises.SetDefaults()
}

// SetDefaults implements decoder.Defaulter.
func (p *GatewayPromise) SetDefaults() {
	p.KeyRevocation = 5 * time.Second
	p.LoadMultiple = 2
	p.RetryRatio = 0.1
	p.RetrySlack = 10
}

// ReadGatewaySettings reads the settings file of a gateway.
func ReadGatewaySettings(file string) (*GatewaySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ParseGatewaySettings(file, data)
}

// ParseGatewaySettings parses settings. The error holds all decoder.Problems.
func ParseGatewaySettings(file string, data []byte) (*GatewaySettings, error) {
	src := decoder.Parse(file, data)
	s := &GatewaySettings{}
	src.Decode(s)
	own := map[string]decoder.Path{}
	once(src, own, s.Listen.Clients, decoder.At("listen", "clients"))
	once(src, own, s.Listen.Readiness, decoder.At("listen", "readiness"))
	once(src, own, s.Listen.Peers, decoder.At("listen", "peers"))
	once(src, own, s.Listen.Metrics, decoder.At("listen", "metrics"))
	if err := src.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
