package loader

import (
	"maps"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/decoder"
)

// Settings are the process settings of one router. They are read once when the
// process starts. Values that operators change at run time are in the
// configuration of the fleet instead, see package validator.
type Settings struct {
	// ID is unique in the fleet and stays the same across restarts.
	ID            string `yaml:"id" required:"true" format:"name"`
	FailureDomain string `yaml:"failure-domain" required:"true" format:"name"`
	Region        string `yaml:"region" required:"true" format:"name"`
	Listen        Listen `yaml:"listen" required:"true"`
	// Stores are the addresses of the platform's key-value store, tried in order.
	Stores []string `yaml:"stores" required:"true" items:"1" format:"address"`
	// VMList is the address at which the platform serves its list of VMs.
	VMList string `yaml:"vm-list" required:"true" format:"address"`
	// Seeds are the peer addresses of routers to contact before the VM list has
	// been read.
	Seeds    []string `yaml:"seeds" format:"address"`
	LogLevel string   `yaml:"log-level" oneof:"debug info warn error"`
	// DrainDeadline is the time after which a stopping router no longer waits
	// for streams that are still running. It must be longer than the
	// max-stream-duration of the current configuration; CheckDrainDeadline
	// compares both.
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

// SizeLimits holds the largest sizes of message bodies that a router accepts.
type SizeLimits struct {
	// RequestBody limits the body of a client request.
	RequestBody Size `yaml:"request-body" min:"1KiB" max:"64MiB"`
	// PeerBody limits a message from another router.
	PeerBody Size `yaml:"peer-body" min:"64KiB" max:"128MiB"`
	// Configuration limits a configuration document from an operator.
	Configuration Size `yaml:"configuration" min:"64KiB" max:"16MiB"`
}

// Periods holds the intervals of a router's periodic tasks.
type Periods struct {
	// Probe is the period of membership probes.
	Probe time.Duration `yaml:"probe" min:"100ms" max:"10s"`
	// Heartbeat is the period of heartbeat frames on a stream.
	Heartbeat time.Duration `yaml:"heartbeat" min:"100ms" max:"2s"`
	// LeaseRenewal is the period at which the router renews its lease in the
	// store.
	LeaseRenewal time.Duration `yaml:"lease-renewal" min:"500ms" max:"3s"`
	// LoadReport is the period of load reports to the routers that aggregate
	// them.
	LoadReport time.Duration `yaml:"load-report" min:"100ms" max:"10s"`
	// VMList is the period at which the VM list is read.
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
	// A lease lasts 10 s, so it survives two lost renewals.
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

// ParseSettings parses the contents of a router's settings file. An error is a
// decoder.Problems with every problem of the file.
func ParseSettings(file string, data []byte) (*Settings, error) {
	source := decoder.Parse(file, data)
	settings := &Settings{}
	source.Decode(settings)
	settings.checkAddresses(source)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// checkAddresses reports duplicate addresses. Two listeners cannot share an
// address, and a repeated store or seed is a typing error. The VM list may have
// the address of a store, and the seeds may contain this router's own address,
// so that all routers can have the same list of seeds.
func (s *Settings) checkAddresses(source *decoder.Source) {
	used := map[string]decoder.Path{}
	checkUniqueAddress(source, used, s.Listen.Clients, decoder.NewPath("listen", "clients"))
	checkUniqueAddress(source, used, s.Listen.Peers, decoder.NewPath("listen", "peers"))
	checkUniqueAddress(source, used, s.Listen.Operators, decoder.NewPath("listen", "operators"))
	checkUniqueAddress(source, maps.Clone(used), s.VMList, decoder.NewPath("vm-list"))
	for i, address := range s.Stores {
		checkUniqueAddress(source, used, address, decoder.NewPath("stores", i))
	}
	seeds := map[string]decoder.Path{}
	for i, address := range s.Seeds {
		checkUniqueAddress(source, seeds, address, decoder.NewPath("seeds", i))
	}
}

// checkUniqueAddress reports an address that is already in seen, and adds it to
// seen otherwise. An empty address is ignored.
func checkUniqueAddress(source *decoder.Source, seen map[string]decoder.Path, address string, path decoder.Path) {
	first, ok := seen[address]
	switch {
	case address == "":
	case ok:
		source.Report(path, "a unique address", "the address %s is already used by %s", address, first)
	default:
		seen[address] = path
	}
}

// CheckDrainDeadline returns an error if a stream of the longest accepted
// duration could still be running when a planned stop reaches DrainDeadline.
func (s *Settings) CheckDrainDeadline(maxStreamDuration time.Duration) error {
	if s.DrainDeadline > maxStreamDuration {
		return nil
	}
	return errors.Errorf("drain-deadline %s of router %s is not longer than max-stream-duration %s",
		s.DrainDeadline, s.ID, maxStreamDuration)
}
