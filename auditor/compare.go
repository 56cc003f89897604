package auditor

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/bergamotdale/bergamotdale"
)

// Compare returns how a version differs from the one in force. Entries are matched by name.
func Compare(next, inForce *bergamotdale.TrafficConfig) []Finding {
	c := &comparison{audit: audit{config: next}, inForce: inForce}
	if next.Version <= inForce.Version {
		c.fail(KindInvalid, "version", "version %d does not rise above version %d in force, so routers ignore it", next.Version, inForce.Version)
	}
	c.compareEntries("routes", "route", routeEntries(next), routeEntries(inForce))
	c.compareEntries("services", "service", serviceEntries(next), serviceEntries(inForce))
	c.compareUse()
	c.compareFields("limits.", "the limits", limitFields(next.Limits), limitFields(inForce.Limits))
	c.compareEntries("workspaces", "workspace", workspaceEntries(next), workspaceEntries(inForce))
	c.compareKeys()
	return c.findings
}

// comparison collects the differences between two versions.
type comparison struct {
	audit

	inForce *bergamotdale.TrafficConfig
}

// field is a value of an entry as text.
type field struct{ name, value string }

// entry is an item of a list.
type entry struct {
	name   string
	fields []field
}

// differ adds a difference.
func (c *comparison) differ(severity Severity, path, format string, args ...any) {
	c.add(severity, KindDifference, path, format, args...)
}

// compareEntries compares two lists. Only the first entry of a name is compared, since more
// of them are an error of Check.
func (c *comparison) compareEntries(list, noun string, next, inForce []entry) {
	byName := func(entries []entry, name string) int {
		return slices.IndexFunc(entries, func(e entry) bool { return e.name == name })
	}
	for i, e := range next {
		if byName(next, e.name) != i {
			continue
		}
		path := fmt.Sprintf("%s[%d]", list, i)
		if before := byName(inForce, e.name); before < 0 {
			c.differ(SeverityInfo, path, "%s %q is added", noun, e.name)
		} else {
			c.compareFields(path+".", fmt.Sprintf("%s %q", noun, e.name), e.fields, inForce[before].fields)
		}
	}
	for i, e := range inForce {
		if byName(inForce, e.name) == i && byName(next, e.name) < 0 {
			c.differ(SeverityWarning, list, "%s %q is removed", noun, e.name)
		}
	}
}

// compareFields compares the fields of an entry, which are the same in both versions.
func (c *comparison) compareFields(prefix, subject string, next, inForce []field) {
	for i, f := range next {
		if before := inForce[i].value; f.value != before {
			c.differ(SeverityInfo, prefix+f.name, "%s of %s: %s, in force %s", f.name, subject, f.value, before)
		}
	}
}

// compareUse finds the services that lose all their routes.
func (c *comparison) compareUse() {
	used, usedBefore := usedServices(c.config), usedServices(c.inForce)
	for i := range c.inForce.Services {
		if name := c.inForce.Services[i].Name; usedBefore[name] && !used[name] {
			c.differ(SeverityWarning, "services", "service %q loses all its routes", name)
		}
	}
}

// compareKeys finds the API keys that are revoked, added, or given to another workspace.
func (c *comparison) compareKeys() {
	next, inForce := keyHolders(c.config), keyHolders(c.inForce)
	for i := range c.inForce.Workspaces {
		w := &c.inForce.Workspaces[i]
		for n, key := range w.Keys {
			if inForce[key] != (holder{w.Name, n + 1}) {
				continue
			}
			now, kept := next[key]
			switch {
			case !kept:
				c.differ(SeverityWarning, "workspaces", "API key %s, key %d of workspace %q, is revoked", mask(key), n+1, w.Name)
			case now.workspace != w.Name:
				c.differ(SeverityWarning, "workspaces", "API key %s, key %d of workspace %q, becomes key %d of workspace %q", mask(key), n+1, w.Name, now.number, now.workspace)
			}
		}
	}
	for i := range c.config.Workspaces {
		w := &c.config.Workspaces[i]
		for n, key := range w.Keys {
			if _, known := inForce[key]; !known && next[key] == (holder{w.Name, n + 1}) {
				c.differ(SeverityInfo, fmt.Sprintf("workspaces[%d].keys[%d]", i, n), "API key %s of workspace %q is added", mask(key), w.Name)
			}
		}
	}
	if len(c.config.Workspaces) == 0 && len(c.inForce.Workspaces) > 0 {
		c.differ(SeverityWarning, "workspaces", "no route needs an API key any more")
	}
}

// routeEntries returns the routes with their fields.
func routeEntries(config *bergamotdale.TrafficConfig) []entry {
	var entries []entry
	for i := range config.Routes {
		r := &config.Routes[i]
		var targets []string
		for _, t := range r.Targets {
			targets = append(targets, fmt.Sprintf("%s:%d", t.Service, t.Weight))
		}
		entries = append(entries, entry{r.Name, []field{
			{"host", strconv.Quote(r.Host)}, {"prefix", strconv.Quote(r.Prefix)}, {"kind", string(r.Kind)}, {"targets", strings.Join(targets, " ")},
			{"timeout", r.Timeout.String()}, {"objective", r.Objective.String()}, {"priority", strconv.Itoa(r.Priority)},
			{"max-attempts", strconv.Itoa(r.MaxAttempts)}, {"anonymous", strconv.FormatBool(r.Anonymous)}, {"resumable", strconv.FormatBool(r.Resumable)},
		}})
	}
	return entries
}

// serviceEntries returns the services with their fields.
func serviceEntries(config *bergamotdale.TrafficConfig) []entry {
	var entries []entry
	for i := range config.Services {
		s := &config.Services[i]
		entries = append(entries, entry{s.Name, []field{
			{"copies-cache", strconv.FormatBool(s.CopiesCache)}, {"cold-rate", strconv.FormatFloat(s.ColdRate, 'g', -1, 64)}, {"cold-start", s.ColdStart.String()},
			{"cache-tokens", strconv.FormatInt(s.CacheTokens, 10)}, {"max-conns", strconv.Itoa(s.MaxConns)},
		}})
	}
	return entries
}

// workspaceEntries returns the workspaces with their fields but for the API keys.
func workspaceEntries(config *bergamotdale.TrafficConfig) []entry {
	var entries []entry
	for i := range config.Workspaces {
		w := &config.Workspaces[i]
		priority := "that of the route"
		if w.Priority != nil {
			priority = strconv.Itoa(*w.Priority)
		}
		entries = append(entries, entry{w.Name, []field{{"priority", priority}}})
	}
	return entries
}

// limitFields returns the limits.
func limitFields(l bergamotdale.TrafficLimits) []field {
	return []field{
		{"header-bytes", strconv.Itoa(l.HeaderBytes)}, {"body-bytes", strconv.FormatInt(l.BodyBytes, 10)},
		{"header-timeout", l.HeaderTimeout.String()}, {"idle-timeout", l.IdleTimeout.String()},
	}
}
