package loader

import (
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/decoder"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/framer"
	"github.com/bergamotdale/bergamotdale/regulator"
	"github.com/bergamotdale/bergamotdale/relayer"
	"github.com/bergamotdale/bergamotdale/replicator"
)

// GatewaySettings are the process settings of a router that forwards requests
// by host and path. The template of the file is deploy/gateway.yaml, which the
// deployment platform fills in.
type GatewaySettings struct {
	// ID is unique in the fleet and stays the same across restarts.
	ID            string        `yaml:"id" required:"true" format:"name"`
	FailureDomain string        `yaml:"failure-domain" required:"true" format:"name"`
	Listen        GatewayListen `yaml:"listen" required:"true"`
	// Store is the address of the platform's store.
	Store string `yaml:"store" required:"true" format:"address"`
	// Seeds are the addresses of routers that this one contacts first to join
	// the fleet.
	Seeds []string `yaml:"seeds" format:"address"`
	// FirstStart is set if the whole fleet starts for the first time: what the store does
	// not have has never been.
	FirstStart bool   `yaml:"first-start"`
	LogLevel   string `yaml:"log-level" oneof:"debug info warn error"`
	// Memory is the part of the VM's memory that this process may use.
	Memory Size `yaml:"memory" min:"32MiB" max:"1024GiB"`
	// Descriptors is the number of descriptors that this process may use. Zero, and a
	// larger number than the resource limit, select that limit. A change needs a restart.
	Descriptors int `yaml:"descriptors" min:"0" max:"1048576"`
	// StopDeadline is the time after SIGTERM at which the process is killed.
	StopDeadline time.Duration `yaml:"stop-deadline" min:"1s" max:"24h"`
	// Placement is the balancer.Policy that selects the endpoint of a request.
	Placement string        `yaml:"placement" oneof:"shared-prefix consistent-hash least-load random"`
	Limits    GatewayLimits `yaml:"promises"`
	// Responses limits what an endpoint may send.
	Responses ResponseLimits `yaml:"responses"`
	// Terms lists the parts of the deployment's rules that are in force, as the platform
	// names them.
	Terms []string `yaml:"terms"`
	// Admission limits the requests that wait, where the terms call for admission.
	Admission AdmissionLimits `yaml:"admission"`
}

// AdmissionLimits bounds the queues of requests for services with few endpoints.
type AdmissionLimits struct {
	// MaxWaiting is the largest number of requests that wait for a service.
	MaxWaiting int `yaml:"max-waiting" min:"1" max:"100000"`
}

// SetDefaults implements decoder.Defaulter.
func (l *AdmissionLimits) SetDefaults() { l.MaxWaiting = regulator.DefaultMaxWaiting }

// ResponseLimits bounds the responses of endpoints. An endpoint in trouble may send
// bytes without end.
type ResponseLimits struct {
	// MaxHead is the largest size of the headers of a response, with the
	// informational responses before it. A change needs a restart.
	MaxHead Size `yaml:"max-head" min:"1KiB" max:"1MiB"`
	// MaxEvent is the largest size of an event of a stream.
	MaxEvent Size `yaml:"max-event" min:"1KiB" max:"4MiB"`
	// MaxBody is the largest size of the body of any other response.
	MaxBody Size `yaml:"max-body" min:"64KiB" max:"16GiB"`
}

// SetDefaults implements decoder.Defaulter.
func (l *ResponseLimits) SetDefaults() {
	l.MaxHead = dialer.DefaultMaxHead
	l.MaxEvent = framer.DefaultMaxEvent
	l.MaxBody = relayer.DefaultMaxResponse
}

// GatewayListen holds the addresses that a gateway serves on.
type GatewayListen struct {
	Clients   string `yaml:"clients" required:"true" format:"address"`
	Readiness string `yaml:"readiness" required:"true" format:"address"`
	Peers     string `yaml:"peers" required:"true" format:"address"`
	Metrics   string `yaml:"metrics" required:"true" format:"address"`
}

// GatewayLimits holds the limits that a gateway guarantees to the operators.
type GatewayLimits struct {
	// KeyRevocationDelay is the longest time for which a revoked API key is
	// still accepted. Zero means no limit.
	KeyRevocationDelay time.Duration `yaml:"key-revocation" min:"0s" max:"24h"`
	// Withdrawal is the time within which an endpoint that leaves gets no new work.
	Withdrawal time.Duration `yaml:"endpoint-withdrawal" min:"1s" max:"1h"`
	// Contact is the time after which a router that was cut off from the store keeps
	// the promises again.
	Contact time.Duration `yaml:"store-contact" min:"1s" max:"1h"`
	// LoadMultiple is the largest load of an endpoint as a multiple of the mean
	// load.
	LoadMultiple float64 `yaml:"load-multiple" min:"1" max:"100"`
	// RetryRatio and RetrySlack limit the retries to a service in any 10 s to
	// RetryRatio times its requests plus RetrySlack.
	RetryRatio float64 `yaml:"retry-ratio" min:"0" max:"1"`
	RetrySlack float64 `yaml:"retry-slack" min:"0" max:"100000"`
	// ColdExcess and ColdSlack limit what a cold endpoint gets from all routers in any
	// second to ColdExcess times the rate that it tolerates plus ColdSlack. Zero for both
	// means no limit.
	ColdExcess float64 `yaml:"cold-excess" min:"0" max:"1000"`
	ColdSlack  float64 `yaml:"cold-slack" min:"0" max:"100000"`
	// Evacuation is the time within which the endpoints of an evacuated failure domain get
	// no new work. Zero means that of Withdrawal.
	Evacuation time.Duration `yaml:"evacuation" min:"0s" max:"1h"`
}

// SetDefaults implements decoder.Defaulter.
func (s *GatewaySettings) SetDefaults() {
	s.LogLevel = "info"
	s.Memory = 256 << 20
	s.StopDeadline = 10 * time.Second
	s.Placement = string(balancer.SharedPrefix)
	s.Limits.SetDefaults()
	s.Responses.SetDefaults()
	s.Admission.SetDefaults()
}

// SetDefaults implements decoder.Defaulter.
func (l *GatewayLimits) SetDefaults() {
	l.KeyRevocationDelay = 5 * time.Second
	l.Withdrawal, l.Contact = replicator.DefaultWithdrawal, replicator.DefaultContact
	l.LoadMultiple = 2
	l.RetryRatio = 0.1
	l.RetrySlack = 10
}

// ReadGatewaySettings reads the settings file of a gateway.
func ReadGatewaySettings(file string) (*GatewaySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ParseGatewaySettings(file, data)
}

// ParseGatewaySettings parses the contents of a gateway's settings file. An
// error is a decoder.Problems with every problem of the file.
func ParseGatewaySettings(file string, data []byte) (*GatewaySettings, error) {
	source := decoder.Parse(file, data)
	settings := &GatewaySettings{}
	source.Decode(settings)
	used := map[string]decoder.Path{}
	checkUniqueAddress(source, used, settings.Listen.Clients, decoder.NewPath("listen", "clients"))
	checkUniqueAddress(source, used, settings.Listen.Readiness, decoder.NewPath("listen", "readiness"))
	checkUniqueAddress(source, used, settings.Listen.Peers, decoder.NewPath("listen", "peers"))
	checkUniqueAddress(source, used, settings.Listen.Metrics, decoder.NewPath("listen", "metrics"))
	if err := source.Err(); err != nil {
		return nil, err
	}
	if _, err := replicator.NewBounds(settings.Limits.Withdrawal, settings.Limits.Evacuation, settings.Limits.Contact); err != nil {
		source.Report(decoder.NewPath("promises"), "promises that the way from the store allows", "%s", err)
		return nil, source.Err()
	}
	return settings, nil
}
