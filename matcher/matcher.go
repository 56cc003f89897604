// Package matcher looks up the route, the service and the workspace of a request
// in one version of the traffic configuration. A route is found by host and
// longest path prefix, a workspace by API key.
package matcher

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// Table is an immutable index of one version of the traffic configuration. It is
// safe for concurrent use.
type Table struct {
	config *bergamotdale.TrafficConfig
	// routesByHost holds the routes of each host, longest prefix first. Host names
	// are in lower case.
	routesByHost   map[string][]*bergamotdale.Route
	workspaceByKey map[string]*bergamotdale.WorkspaceKeys
	serviceByName  map[string]*bergamotdale.TrafficService
}

// New returns the index of the configuration, which must not change afterwards.
func New(config *bergamotdale.TrafficConfig) *Table {
	t := &Table{
		config:         config,
		routesByHost:   map[string][]*bergamotdale.Route{},
		workspaceByKey: map[string]*bergamotdale.WorkspaceKeys{},
		serviceByName:  map[string]*bergamotdale.TrafficService{},
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *bergamotdale.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range config.Workspaces {
		for _, key := range config.Workspaces[i].Keys {
			t.workspaceByKey[key] = &config.Workspaces[i]
		}
	}
	for i := range config.Services {
		t.serviceByName[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the size limits for requests of clients.
func (t *Table) Limits() bergamotdale.TrafficLimits { return t.config.Limits }

// LongestStream returns the longest timeout of the routes whose streams may be taken up,
// zero if there are none.
func (t *Table) LongestStream() time.Duration {
	longest := time.Duration(0)
	for i := range t.config.Routes {
		if r := &t.config.Routes[i]; r.Kind == bergamotdale.RouteStream && r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Route returns the route of the host whose prefix is the longest one that the
// path begins with, or nil. The host may include a port.
func (t *Table) Route(host, path string) *bergamotdale.Route {
	for _, r := range t.routesByHost[hostName(host)] {
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

// Workspace returns the workspace that the API key belongs to, or nil.
func (t *Table) Workspace(key string) *bergamotdale.WorkspaceKeys {
	return t.workspaceByKey[key]
}

// RequiresKey reports whether requests to the route need an API key. No route
// does while the configuration has no workspaces.
func (t *Table) RequiresKey(r *bergamotdale.Route) bool {
	return len(t.config.Workspaces) > 0 && !r.Anonymous
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *bergamotdale.TrafficService {
	return t.serviceByName[name]
}

// SelectService returns the name of the service for a request to the route. A
// route with several targets splits its keys between them in proportion to their
// weights; requests with the same key go to the same service.
func (t *Table) SelectService(r *bergamotdale.Route, key string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	totalWeight := 0
	for _, target := range r.Targets {
		totalWeight += target.Weight
	}
	if totalWeight <= 0 {
		return r.Targets[0].Service
	}
	position := int(hasher.Hash(r.Name+"\x00"+key) % uint64(totalWeight))
	for _, target := range r.Targets {
		position -= target.Weight
		if position < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
