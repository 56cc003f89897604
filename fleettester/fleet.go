// Package fleettester runs a small fleet in one process for tests: routers on
// loopback before fakes of the platform and of the endpoints. All connections
// are real, so that faults can be injected on them.
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

// Fleet is a running fleet. Exported fields are set before Start.
type Fleet struct {
	// Routers, Engines and Services are the numbers of each.
	Routers  int
	Engines  int
	Services int
	// Engine adjusts each fake engine before it starts.
	Engine func(e *engineserver.Server)
	// Document adjusts the configuration before it is applied.
	Document func(d *validator.Document)
	// Settings adjusts the settings of the routers.
	Settings func(s *loader.Settings)
	// Binary is the program to run each router as a process of its own; empty
	// runs them in this process.
	Binary string
	// Directory receives the settings and logs of router processes.
	Directory string
	Logger    *zap.Logger

	platform  *platformserver.Server
	store     *platformclient.Client
	engines   []*Engine
	services  []*Service
	routers   []*Router
	states    map[string]bergamotdale.VMState
	stopFakes context.CancelFunc
	fakes     sync.WaitGroup
}

// Service is a fake service endpoint of the fleet.
type Service struct {
	*serviceserver.Server
	Name   string
	Faults *injector.Injector
}

// Router is a router of the fleet.
type Router struct {
	Name string
	// URL is the base URL for clients.
	URL      string
	Settings *loader.Settings
	// Events is the timeline of the router.
	Events *recorder.Ring

	// process is the process of the router, nil if it runs in this one.
	process *os.Process
	// peer counts the bytes to and from other routers; nil with a process.
	peer *peerclient.Client
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Start starts the fakes, applies the configuration and starts the routers.
func (f *Fleet) Start(ctx context.Context) error {
	if f.Logger == nil {
		f.Logger = zap.NewNop()
	}
	fakeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.stopFakes = cancel
	f.states = map[string]bergamotdale.VMState{}
	if err := f.startFakes(fakeCtx); err != nil {
		return errors.Trace(err)
	}
	document, err := f.document()
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.apply(ctx, document); err != nil {
		return errors.Trace(err)
	}
	for i := range f.Routers {
		if _, err := f.StartRouter(i); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// startFakes starts the platform and the endpoints.
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

func (f *Fleet) runFake(ctx context.Context, run func(context.Context) error) {
	f.fakes.Add(1)
	go func() {
		defer f.fakes.Done()
		if err := run(ctx); err != nil {
			f.Logger.Error("fake ended", zap.Error(err))
		}
	}()
}

// apply commits the document as the next revision.
func (f *Fleet) apply(ctx context.Context, d *validator.Document) error {
	operator := &follower.Follower{
		Router: "fleettester", Store: f.store, Clock: bergamotdale.SystemClock{},
		Recorder: discard{}, Logger: f.Logger, Peers: func() []string { return nil },
	}
	_, err := operator.Apply(ctx, reviser.Request{Document: d, Author: "fleettester", Comment: "start"})
	return errors.Trace(err)
}

// StartRouter starts the router with the index, again after it was stopped.
func (f *Fleet) StartRouter(i int) (*Router, error) {
	listeners, err := listen(fmt.Sprintf("127.0.1.%d", i+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	settings := &loader.Settings{}
	settings.SetDefaults()
	settings.ID = fmt.Sprintf("router-%d", i+1)
	settings.FailureDomain = f.domain(i)
	settings.Region = "region"
	settings.Listen = loader.Listen{
		Clients:   listeners.Clients.Addr().String(),
		Peers:     listeners.Peers.Addr().String(),
		Operators: listeners.Operators.Addr().String(),
	}
	settings.Stores = []string{f.platform.Address}
	settings.VMList = f.platform.Address
	settings.DrainDeadline = 11 * time.Minute
	if f.Settings != nil {
		f.Settings(settings)
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
	f.listVMs()
	if f.Binary != "" {
		listeners.close()
		return r, errors.Trace(f.runProcess(r))
	}
	f.runInProcess(r, listeners.Listeners)
	return r, nil
}

// runInProcess runs a router in this process.
func (f *Fleet) runInProcess(r *Router, listeners router.Listeners) {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.peer = peerclient.New()
	adapters := router.NewAdapters(r.Settings, r.Events)
	do.OverrideValue[bergamotdale.Peer](adapters, r.peer)
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

// sockets are the listeners of a router before it runs.
type sockets struct {
	router.Listeners
}

func (s sockets) close() {
	_ = s.Clients.Close()
	_ = s.Peers.Close()
	_ = s.Operators.Close()
}

// listen opens the three sockets of a router.
func listen(ip string) (sockets, error) {
	var open [3]net.Listener
	for i := range open {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return sockets{}, errors.Trace(err)
		}
		open[i] = l
	}
	return sockets{router.Listeners{Clients: open[0], Peers: open[1], Operators: open[2]}}, nil
}

// listVMs tells the platform which VMs are live.
func (f *Fleet) listVMs() {
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
		if state, ok := f.states[vm.Name]; ok {
			vms[i].State = state
		}
	}
	f.platform.SetVMs(vms)
}

// SetVMState changes the state of a VM in the platform's list.
func (f *Fleet) SetVMState(name string, state bergamotdale.VMState) {
	f.states[name] = state
	f.listVMs()
}

// PlatformFaults injects faults into the store and the VM list.
func (f *Fleet) PlatformFaults() *injector.Injector { return f.platform.Faults }

// Stop stops a router gracefully and waits for its end.
func (r *Router) Stop() error {
	r.stop()
	<-r.done
	return r.err
}

// PeerBytes returns the bytes sent and received on the connections that the
// router has opened to others. The router must run in this process.
func (r *Router) PeerBytes() (sent, received int64) {
	return r.peer.Bytes()
}

// Done is closed when the router has ended.
func (r *Router) Done() <-chan struct{} {
	return r.done
}

// Router returns the router with the index.
func (f *Fleet) Router(i int) *Router { return f.routers[i] }

// EngineAt returns the engine with the index.
func (f *Fleet) EngineAt(i int) *Engine { return f.engines[i] }

// ServiceAt returns the service endpoint with the index.
func (f *Fleet) ServiceAt(i int) *Service { return f.services[i] }

// Platform returns the platform.
func (f *Fleet) Platform() *platformserver.Server { return f.platform }

// Close stops everything.
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
		err := Await(ctx, func() bool { return ready(ctx, r.URL) })
		if err != nil {
			return errors.Annotatef(err, "%s is not ready", r.Name)
		}
	}
	return nil
}

func ready(ctx context.Context, url string) bool {
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

// awaitInterval is the time between two looks at a condition.
const awaitInterval = 10 * time.Millisecond

// Await blocks until the condition holds or the context is done.
func Await(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, awaitInterval); err != nil {
			return err
		}
	}
	return nil
}

// discard is a Recorder without memory.
type discard struct{}

// Record implements bergamotdale.Recorder.
func (discard) Record(bergamotdale.Event) {}
