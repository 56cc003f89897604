package loader

import (
	"maps"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/decoder"
)

// Settings are the process settings of one router. They are read once at the
// start; everything that operators change at run time is in the operators'
// configuration instead.
type Settings struct {
	// ID is unique in the fleet and stable over restarts.
	ID            string `yaml:"id" required:"true" format:"name"`
	FailureDomain string `yaml:"failure-domain" required:"true" format:"name"`
	Region        string `yaml:"region" required:"true" format:"name"`
	Listen        Listen `yaml:"listen" required:"true"`
	// Stores are the addresses of the platform's store, tried in order.
	Stores []string `yaml:"stores" required:"true" items:"1" format:"address"`
	// VMList is the address of the platform's VM list.
	VMList string `yaml:"vm-list" required:"true" format:"address"`
	// Seeds are peer addresses to contact before the VM list is known.
	Seeds    []string `yaml:"seeds" format:"address"`
	LogLevel string   `yaml:"log-level" oneof:"debug info warn error"`
	// DrainDeadline is the time after which a stopping router gives up on the
	// streams that still run. It is longer than the max-stream-duration of the
	// configuration in force; CheckDrain compares both.
	DrainDeadline time.Duration `yaml:"drain-deadline" min:"10s" max:"24h"`
	Limits        SizeLimits    `yaml:"limits"`
	Periods       Periods       `yaml:"periods"`
}

// Listen holds the addresses that a router serves on.
type Listen struct {
	// Clients, Peers and Operators are host:port with an IP address.
	Clients   string `yaml:"clients" required:"true" format:"address"`
	Peers     string `yaml:"peers" required:"true" format:"address"`
	Operators string `yaml:"operators" required:"true" format:"address"`
}

// SizeLimits bound the bodies that a router accepts.
type SizeLimits struct {
	// RequestBody bounds the body of a client's request.
	RequestBody Size `yaml:"request-body" min:"1KiB" max:"64MiB"`
	// PeerBody bounds a message of another router.
	PeerBody Size `yaml:"peer-body" min:"64KiB" max:"128MiB"`
	// Configuration bounds a configuration document that an operator sends.
	Configuration Size `yaml:"configuration" min:"64KiB" max:"16MiB"`
}

// Periods holds the periods of a router's repeated work.
type Periods struct {
	// Probe is the period of membership probes.
	Probe time.Duration `yaml:"probe" min:"100ms" max:"10s"`
	// Heartbeat is the period of heartbeat frames on a stream.
	Heartbeat time.Duration `yaml:"heartbeat" min:"100ms" max:"2s"`
	// LeaseRenewal is the period of renewals of the router's store lease.
	LeaseRenewal time.Duration `yaml:"lease-renewal" min:"500ms" max:"3s"`
	// LoadReport is the period of load reports to aggregators.
	LoadReport time.Duration `yaml:"load-report" min:"100ms" max:"10s"`
	// VMList is the period of reads of the VM list.
	VMList time.Duration `yaml:"vm-list" min:"500ms" max:"1m"`
}

// SetDefaults implements decoder.Defaulter.
func (s *Settings) SetDefaults() {
	s.LogLevel = "info"
	// Longer than the default max-stream-duration of 10 minutes.
	s.DrainDeadline = 11 * time.Minute
	s.Limits.SetDefaults()
	s.Periods.SetDefaults()
}

// SetDefaults implements decoder.Defaulter.
func (l *SizeLimits) SetDefaults() {
	l.RequestBody = 4 << 20
	l.PeerBody = 16 << 20
	l.Configuration = 8 << 20
}

// SetDefaults implements decoder.Defaulter.
func (p *Periods) SetDefaults() {
	p.Probe = time.Second
	p.Heartbeat = time.Second
	// A lease of 10 s survives two lost renewals.
	p.LeaseRenewal = 3 * time.Second
	p.LoadReport = time.Second
	p.VMList = 2 * time.Second
}

// ReadSettings reads the settings file of a router.
func ReadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ParseSettings(file, data)
}

// ParseSettings parses settings. The error holds all decoder.Problems.
func ParseSettings(file string, data []byte) (*Settings, error) {
	src := decoder.Parse(file, data)
	s := &Settings{}
	src.Decode(s)
	s.checkAddresses(src)
	if err := src.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// checkAddresses reports repeated addresses: two listeners cannot share one,
// and a repeated store or seed is a typing error. The seeds may hold this
// router's own address, so that all routers can have the same list.
func (s *Settings) checkAddresses(src *decoder.Source) {
	own := map[string]decoder.Path{}
	once(src, own, s.Listen.Clients, decoder.At("listen", "clients"))
	once(src, own, s.Listen.Peers, decoder.At("listen", "peers"))
	once(src, own, s.Listen.Operators, decoder.At("listen", "operators"))
	once(src, maps.Clone(own), s.VMList, decoder.At("vm-list"))
	for i, a := range s.Stores {
		once(src, own, a, decoder.At("stores", i))
	}
	seeds := map[string]decoder.Path{}
	for i, a := range s.Seeds {
		once(src, seeds, a, decoder.At("seeds", i))
	}
}

// once reports the address if seen has it and adds it otherwise.
func once(src *decoder.Source, seen map[string]decoder.Path, address string, path decoder.Path) {
	first, ok := seen[address]
	switch {
	case address == "":
	case ok:
		src.Report(path, "an address that is used once", "%s is already used by %s", address, first)
	default:
		seen[address] = path
	}
}

// CheckDrain returns an error if streams of the longest accepted duration
// could outlive a planned stop.
func (s *Settings) CheckDrain(maxStreamDuration time.Duration) error {
	if s.DrainDeadline > maxStreamDuration {
		return nil
	}
	return errors.Errorf("drain-deadline %s of router %s is not longer than max-stream-duration %s",
		s.DrainDeadline, s.ID, maxStreamDuration)
}
