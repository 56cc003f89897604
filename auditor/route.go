package auditor

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/bergamotdale/bergamotdale"
)

// endpointOf returns the host and prefix by which requests find the route.
func endpointOf(r *bergamotdale.Route) [2]string {
	return [2]string{strings.ToLower(r.Host), r.Prefix}
}

// checkRoutes checks the routes.
func (a *audit) checkRoutes() {
	names, endpoints := map[string]int{}, map[[2]string]int{}
	for i := range a.config.Routes {
		r := &a.config.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		a.checkName("routes", i, r.Name, names)
		if problem := hostProblem(r.Host); problem != "" {
			a.fail(KindNeverMatches, path+".host", "host %q %s", r.Host, problem)
		}
		if problem := prefixProblem(r.Prefix); problem != "" {
			a.fail(KindNeverMatches, path+".prefix", "prefix %q %s", r.Prefix, problem)
		} else if !strings.HasSuffix(r.Prefix, "/") {
			a.fail(KindInvalid, path+".prefix", "prefix %q does not end with a slash", r.Prefix)
		}
		if first, shadowed := endpoints[endpointOf(r)]; shadowed {
			a.fail(KindNeverMatches, path, "route %q has the host and the prefix of route %q at routes[%d], which gets its requests", r.Name, a.config.Routes[first].Name, first)
		} else {
			endpoints[endpointOf(r)] = i
		}
		a.checkTargets(path, r)
		a.checkRouteLimits(path, r)
	}
}

// hostProblem returns why no request can have the host, or "" if one can. The host of a
// request is compared without its port, and there are no patterns.
func hostProblem(host string) string {
	switch _, err := netip.ParseAddr(host); {
	case host == "":
		return "is missing"
	case err == nil:
		return ""
	case strings.ContainsRune(host, '*'):
		return "is a pattern; hosts are compared as they are"
	case strings.ContainsRune(host, ':'):
		return "has a port; requests are compared without theirs"
	case strings.ContainsFunc(host, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`/\?#@"`, c) }):
		return "has a character that is in no host name"
	default:
		return ""
	}
}

// prefixProblem returns why the path of no request can begin with the prefix, or "" if one
// can. Paths are compared in their escaped form.
func prefixProblem(prefix string) string {
	if !strings.HasPrefix(prefix, "/") {
		return "does not begin with a slash"
	}
	u, err := url.ParseRequestURI(prefix)
	if err != nil || u.EscapedPath() != prefix {
		return "has a character that is escaped in the path of a request, or that ends it"
	}
	return ""
}

// checkTargets checks the services of a route.
func (a *audit) checkTargets(path string, r *bergamotdale.Route) {
	if len(r.Targets) == 0 {
		a.fail(KindNeverMatches, path+".targets", "route %q names no service", r.Name)
		return
	}
	listed := map[string]bool{}
	for i := range a.config.Services {
		listed[a.config.Services[i].Name] = true
	}
	total := 0
	seen := map[string]bool{}
	for n, target := range r.Targets {
		targetPath := path
		if len(r.Targets) > 1 {
			targetPath = fmt.Sprintf("%s.targets[%d]", path, n)
		}
		if target.Service == "" {
			a.fail(KindNeverMatches, targetPath+".service", "route %q names no service", r.Name)
		} else if !listed[target.Service] {
			a.fail(KindNeverMatches, targetPath+".service", "route %q names service %q, which is not listed", r.Name, target.Service)
		}
		if seen[target.Service] {
			a.fail(KindContradiction, targetPath+".service", "route %q names service %q twice", r.Name, target.Service)
		}
		seen[target.Service] = true
		switch {
		case target.Weight < 0:
			a.fail(KindInvalid, targetPath+".weight", "weight %d is negative", target.Weight)
		case target.Weight == 0 && len(r.Targets) == 1:
			a.fail(KindContradiction, path+".targets[0].weight", "weight 0 has no effect: service %q is the only one and gets all requests", target.Service)
		case target.Weight == 0:
			a.fail(KindNeverMatches, targetPath+".weight", "with weight 0, service %q gets no request of route %q", target.Service, r.Name)
		}
		total += target.Weight
	}
	if total <= 0 && len(r.Targets) > 1 {
		a.fail(KindContradiction, path+".targets", "no weight is positive, so service %q gets all requests", r.Targets[0].Service)
	}
}

// checkRouteLimits checks the times and attempts of a route.
func (a *audit) checkRouteLimits(path string, r *bergamotdale.Route) {
	timeout, origin := r.Timeout, ""
	if timeout == 0 {
		timeout, origin = a.bounds.DefaultTimeout, " by default"
	}
	switch {
	case r.Timeout < 0:
		a.fail(KindInvalid, path+".timeout", "the timeout is negative")
	case r.Objective < 0:
		a.fail(KindInvalid, path+".objective", "the objective is negative")
	case timeout > 0 && timeout < r.Objective:
		a.fail(KindContradiction, path+".timeout", "requests end after %s%s, before their objective of %s", timeout, origin, r.Objective)
	}
	if r.Resumable && r.Kind != bergamotdale.RouteStream {
		a.fail(KindContradiction, path+".resumable", "route %q is resumable, but its responses are no streams", r.Name)
	}
	if r.MaxAttempts > 1 && !r.Idempotent() {
		// Not an error: a request that an endpoint has refused is sent to another one.
		a.add(SeverityWarning, KindContradiction, path+".max-attempts",
			"%d attempts, but a request of route %q may run once: others follow only a refusal that states that it did not run", r.MaxAttempts, r.Name)
	}
}

// usedServices returns the names of the services to which a route sends requests, leaving out
// routes that no request can reach.
func usedServices(config *bergamotdale.TrafficConfig) map[string]bool {
	used := map[string]bool{}
	endpoints := map[[2]string]bool{}
	for i := range config.Routes {
		r := &config.Routes[i]
		if endpoints[endpointOf(r)] || hostProblem(r.Host) != "" || prefixProblem(r.Prefix) != "" {
			continue
		}
		endpoints[endpointOf(r)] = true
		total := 0
		for _, target := range r.Targets {
			total += target.Weight
		}
		for n, target := range r.Targets {
			if target.Weight > 0 || (total <= 0 && n == 0) {
				used[target.Service] = true
			}
		}
	}
	return used
}
