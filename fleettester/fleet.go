// Package fleettester runs a small fleet on loopback addresses for tests: routers
// in front of fake servers for the platform, the engines and a service. Routers
// run in the process of the test or as separate processes. All connections are
// real TCP connections, so that faults can be injected into them.
package fleettester

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/detector"
	"github.com/bergamotdale/bergamotdale/engineserver"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/peerclient"
	"github.com/bergamotdale/bergamotdale/platformclient"
	"github.com/bergamotdale/bergamotdale/platformserver"
	"github.com/bergamotdale/bergamotdale/recorder"
	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/router"
	"github.com/bergamotdale/bergamotdale/serviceserver"
	"github.com/bergamotdale/bergamotdale/validator"
)

// Fleet is a fleet of routers and fake servers. The exported fields must be set
// before Start.
type Fleet struct {
	// Routers, Engines and Services are the numbers of routers, engines and
	// service endpoints.
	Routers  int
	Engines  int
	Services int
	// AdjustEngine changes each fake engine before it starts, also before a
	// restart.
	AdjustEngine func(e *engineserver.Server)
	// AdjustDocument changes the configuration before it is applied.
	AdjustDocument func(d *validator.Document)
	// AdjustSettings changes the settings of each router before it starts.
	AdjustSettings func(s *loader.Settings)
	// Binary is the path of the program that runs each router as a separate
	// process. If it is empty, the routers run in this process.
	Binary string
	// Directory receives the settings and logs of the router processes.
	Directory string
	Logger    *zap.Logger

	platform  *platformserver.Server
	store     *platformclient.Client
	engines   []*Engine
	services  []*Service
	routers   []*Router
	vmStates  map[string]bergamotdale.VMState
	stopFakes context.CancelFunc
	fakes     sync.WaitGroup
}

// Service is a fake service endpoint of the fleet.
type Service struct {
	*serviceserver.Server
	Name   string
	Faults *injector.Injector
}

// Router is a router of the fleet that runs in this process or as a separate one.
type Router struct {
	Name string
	// URL is the base URL for clients.
	URL      string
	Settings *loader.Settings
	// Events records the events of a router that runs in this process.
	Events *recorder.Ring

	// process is nil if the router runs in this process.
	process *os.Process
	// peerClient counts the bytes sent to and received from other routers. It is
	// nil if the router runs as a separate process.
	peerClient *peerclient.Client
	stop       context.CancelFunc
	done       chan struct{}
	err        error
}

// Start starts the fake servers, applies the configuration and starts the routers.
func (f *Fleet) Start(ctx context.Context) error {
	if f.Logger == nil {
		f.Logger = zap.NewNop()
	}
	fakeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.stopFakes = cancel
	f.vmStates = map[string]bergamotdale.VMState{}
	if err := f.startFakes(fakeCtx); err != nil {
		return errors.Trace(err)
	}
	document, err := f.document()
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.applyDocument(ctx, document); err != nil {
		return errors.Trace(err)
	}
	for i := range f.Routers {
		if _, err := f.StartRouter(i); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// startFakes starts the fake servers of the platform, the engines and the service.
func (f *Fleet) startFakes(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		return errors.Trace(err)
	}
	f.platform = &platformserver.Server{Listener: listener, Address: listener.Addr().String(), Faults: &injector.Injector{}}
	f.runFake(ctx, f.platform.Run)
	f.store = &platformclient.Client{Addresses: []string{f.platform.Address}, Caller: "fleettester"}
	for i := range f.Engines {
		if err := f.startEngine(ctx, i); err != nil {
			return errors.Trace(err)
		}
	}
	for i := range f.Services {
		if err := f.startService(ctx, i); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// startService starts the service endpoint with the index.
func (f *Fleet) startService(ctx context.Context, i int) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.3.%d:0", i+1))
	if err != nil {
		return errors.Trace(err)
	}
	s := &Service{Name: fmt.Sprintf("booking-%d", i+1), Faults: &injector.Injector{}}
	s.Server = &serviceserver.Server{Address: listener.Addr().String(), Listener: listener, Name: s.Name, Faults: s.Faults}
	f.services = append(f.services, s)
	f.runFake(ctx, s.Run)
	return nil
}

// runFake runs a fake server in the background; Close waits for its end.
func (f *Fleet) runFake(ctx context.Context, run func(context.Context) error) {
	f.fakes.Add(1)
	go func() {
		defer f.fakes.Done()
		if err := run(ctx); err != nil {
			f.Logger.Error("fake server stopped with an error", zap.Error(err))
		}
	}()
}

// applyDocument writes the document to the store as the next revision.
func (f *Fleet) applyDocument(ctx context.Context, d *validator.Document) error {
	applier := &follower.Follower{
		Router: "fleettester", Store: f.store, Clock: bergamotdale.SystemClock{},
		Recorder: discardingRecorder{}, Logger: f.Logger, Peers: func() []string { return nil },
	}
	_, err := applier.Apply(ctx, reviser.Request{Document: d, Author: "fleettester", Comment: "start"})
	return errors.Trace(err)
}

// StartRouter starts the router with the index. It replaces a router that was
// stopped or killed.
func (f *Fleet) StartRouter(i int) (*Router, error) {
	sockets, err := openSockets(fmt.Sprintf("127.0.1.%d", i+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	settings := &loader.Settings{}
	settings.SetDefaults()
	settings.ID = fmt.Sprintf("router-%d", i+1)
	settings.FailureDomain = f.failureDomain(i)
	settings.Region = "region"
	settings.Listen = loader.Listen{
		Clients:   sockets.Clients.Addr().String(),
		Peers:     sockets.Peers.Addr().String(),
		Operators: sockets.Operators.Addr().String(),
	}
	settings.Stores = []string{f.platform.Address}
	settings.VMList = f.platform.Address
	settings.DrainDeadline = 11 * time.Minute
	if f.AdjustSettings != nil {
		f.AdjustSettings(settings)
	}
	r := &Router{
		Name:     settings.ID,
		URL:      "http://" + settings.Listen.Clients,
		Settings: settings,
		Events:   &recorder.Ring{Process: settings.ID, Clock: bergamotdale.SystemClock{}},
		done:     make(chan struct{}),
	}
	if i < len(f.routers) {
		f.routers[i] = r
	} else {
		f.routers = append(f.routers, r)
	}
	f.publishVMs()
	if f.Binary != "" {
		sockets.close()
		return r, errors.Trace(f.runProcess(r))
	}
	f.runInProcess(r, sockets.Listeners)
	return r, nil
}

// runInProcess runs a router in this process.
func (f *Fleet) runInProcess(r *Router, listeners router.Listeners) {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.peerClient = peerclient.New()
	adapters := router.NewAdapters(r.Settings, r.Events)
	do.OverrideValue[bergamotdale.Peer](adapters, r.peerClient)
	process := &router.Router{
		Settings:  r.Settings,
		Logger:    f.Logger.Named(r.Name),
		Listeners: listeners,
		Adapters:  adapters,
	}
	go func() {
		defer close(r.done)
		r.err = process.Run(ctx)
	}()
}

// routerSockets holds the open listeners of a router that has not started.
type routerSockets struct {
	router.Listeners
}

func (s routerSockets) close() {
	_ = s.Clients.Close()
	_ = s.Peers.Close()
	_ = s.Operators.Close()
}

// openSockets opens the listeners of a router for clients, peers and operators.
func openSockets(ip string) (routerSockets, error) {
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return routerSockets{}, errors.Trace(err)
		}
		listeners[i] = l
	}
	return routerSockets{router.Listeners{Clients: listeners[0], Peers: listeners[1], Operators: listeners[2]}}, nil
}

// publishVMs sets the VM list of the platform. A VM is live unless SetVMState
// has set another state.
func (f *Fleet) publishVMs() {
	var vms []bergamotdale.VM
	for _, r := range f.routers {
		vms = append(vms, bergamotdale.VM{
			Name: r.Name, Address: r.Settings.Listen.Peers, FailureDomain: r.Settings.FailureDomain,
			Role: detector.RouterRole, State: bergamotdale.VMLive,
		})
	}
	for _, e := range f.engines {
		vms = append(vms, bergamotdale.VM{Name: e.Name, Address: e.Address, Role: "engine", State: bergamotdale.VMLive})
	}
	for i, vm := range vms {
		if state, ok := f.vmStates[vm.Name]; ok {
			vms[i].State = state
		}
	}
	f.platform.SetVMs(vms)
}

// SetVMState sets the state of a VM in the VM list of the platform.
func (f *Fleet) SetVMState(name string, state bergamotdale.VMState) {
	f.vmStates[name] = state
	f.publishVMs()
}

// PlatformFaults returns the injector of the platform, which serves the store and
// the VM list.
func (f *Fleet) PlatformFaults() *injector.Injector { return f.platform.Faults }

// Stop stops the router gracefully and returns the error that it ended with.
func (r *Router) Stop() error {
	r.stop()
	<-r.done
	return r.err
}

// PeerBytes returns the numbers of bytes sent and received on the connections
// that the router has opened to other routers. It must not be called for a
// router that runs as a separate process.
func (r *Router) PeerBytes() (sent, received int64) {
	return r.peerClient.Bytes()
}

// Done returns a channel that is closed when the router has stopped.
func (r *Router) Done() <-chan struct{} {
	return r.done
}

// Router returns the router with the index.
func (f *Fleet) Router(i int) *Router { return f.routers[i] }

// EngineAt returns the engine with the index.
func (f *Fleet) EngineAt(i int) *Engine { return f.engines[i] }

// ServiceAt returns the service endpoint with the index.
func (f *Fleet) ServiceAt(i int) *Service { return f.services[i] }

// Platform returns the fake server of the platform.
func (f *Fleet) Platform() *platformserver.Server { return f.platform }

// Close stops the routers and then the fake servers, and waits for their end.
func (f *Fleet) Close() {
	for _, r := range f.routers {
		r.stop()
	}
	for _, r := range f.routers {
		<-r.done
	}
	f.stopFakes()
	f.fakes.Wait()
}

// AwaitReady blocks until every router reports that it is ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, r := range f.routers {
		err := Await(ctx, func() bool { return isReady(ctx, r.URL) })
		if err != nil {
			return errors.Annotatef(err, "router %s is not ready", r.Name)
		}
	}
	return nil
}

// isReady reports whether the readiness check of a router succeeds.
func isReady(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pollInterval is the time between two checks of a condition by Await.
const pollInterval = 10 * time.Millisecond

// Await blocks until the condition is true. It returns the error of the context if
// that is done first.
func Await(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// discardingRecorder is a Recorder that drops all events.
type discardingRecorder struct{}

// Record implements bergamotdale.Recorder.
func (discardingRecorder) Record(bergamotdale.Event) {}
