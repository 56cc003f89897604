// Package matcher finds the route of a request and the workspace of an API key
// in one version of the traffic configuration.
package matcher

import (
	"net"
	"slices"
	"strings"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// Table is an immutable, indexed traffic configuration. It is safe for
// concurrent use.
type Table struct {
	config *bergamotdale.TrafficConfig
	// hosts holds the routes of a host in lower case, longest prefix first.
	hosts map[string][]*bergamotdale.Route
	// keys holds the workspace of each API key.
	keys map[string]*bergamotdale.WorkspaceKeys
	// services holds the services by name.
	services map[string]*bergamotdale.TrafficService
}

// New indexes the configuration, which must not be changed afterwards.
func New(config *bergamotdale.TrafficConfig) *Table {
	t := &Table{
		config:   config,
		hosts:    map[string][]*bergamotdale.Route{},
		keys:     map[string]*bergamotdale.WorkspaceKeys{},
		services: map[string]*bergamotdale.TrafficService{},
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *bergamotdale.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range config.Workspaces {
		for _, key := range config.Workspaces[i].Keys {
			t.keys[key] = &config.Workspaces[i]
		}
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns what clients may send.
func (t *Table) Limits() bergamotdale.TrafficLimits { return t.config.Limits }

// Route returns the route with the longest prefix of the path, or nil. The host
// may carry a port.
func (t *Table) Route(host, path string) *bergamotdale.Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace that holds the API key, or nil.
func (t *Table) Workspace(key string) *bergamotdale.WorkspaceKeys {
	return t.keys[key]
}

// Keyed reports whether a request of the route needs an API key.
func (t *Table) Keyed(r *bergamotdale.Route) bool {
	return len(t.config.Workspaces) > 0 && !r.Anonymous
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *bergamotdale.TrafficService {
	return t.services[name]
}

// Target returns the service of a request. Requests with the same key go to
// the same service of a route with several targets, in proportion to the
// weights.
func (t *Table) Target(r *bergamotdale.Route, key string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(hasher.Hash(r.Name+"\x00"+key) % uint64(total))
	for _, target := range r.Targets {
		at -= target.Weight
		if at < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
