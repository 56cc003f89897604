package auditor

import (
	"fmt"
	"strings"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// shownKeyBytes is how much of the beginning of an API key a finding shows, and
	// shownKeyMinBytes the length from which it does: at least three quarters stay hidden.
	shownKeyBytes    = 4
	shownKeyMinBytes = 16
)

// mask returns a text by which an operator recognizes a long key without learning it.
func mask(key string) string {
	if len(key) < shownKeyMinBytes {
		return "…"
	}
	return key[:shownKeyBytes] + "…"
}

// holder is a place at which a version lists an API key.
type holder struct {
	workspace string
	// number is the position in the workspace, counted from 1.
	number int
}

// keyHolders returns the place of each key. If it is listed several times, the last one
// counts, as in matcher.
func keyHolders(config *bergamotdale.TrafficConfig) map[string]holder {
	holders := map[string]holder{}
	for i := range config.Workspaces {
		for n, key := range config.Workspaces[i].Keys {
			holders[key] = holder{config.Workspaces[i].Name, n + 1}
		}
	}
	return holders
}

// checkWorkspaces checks the workspaces and their API keys.
func (a *audit) checkWorkspaces() {
	if len(a.config.Workspaces) == 0 {
		for i := range a.config.Routes {
			if !a.config.Routes[i].Anonymous {
				a.add(SeverityWarning, KindContradiction, "workspaces", "there are no workspaces, so no route needs an API key, route %q neither", a.config.Routes[i].Name)
				break
			}
		}
	}
	type place struct {
		workspace, key int
	}
	names, places := map[string]int{}, map[string]place{}
	for i := range a.config.Workspaces {
		w := &a.config.Workspaces[i]
		a.checkName("workspaces", i, w.Name, names)
		if len(w.Keys) == 0 {
			a.fail(KindNeverMatches, fmt.Sprintf("workspaces[%d].keys", i), "workspace %q has no API key, so no request belongs to it", w.Name)
		}
		for n, key := range w.Keys {
			path := fmt.Sprintf("workspaces[%d].keys[%d]", i, n)
			if problem := keyProblem(key); problem != "" {
				a.fail(KindNeverMatches, path, "API key %s of workspace %q %s", mask(key), w.Name, problem)
			}
			first, repeated := places[key]
			switch {
			case !repeated:
				places[key] = place{i, n}
			case first.workspace == i:
				a.fail(KindNeverMatches, path, "API key %s is also key %d of workspace %q", mask(key), first.key+1, w.Name)
			default:
				a.fail(KindNeverMatches, path, "API key %s of workspace %q is also key %d of workspace %q; the last workspace that lists it gets its requests",
					mask(key), w.Name, first.key+1, a.config.Workspaces[first.workspace].Name)
			}
		}
	}
}

// keyProblem returns why no request can have the API key, or "" if one can. It arrives in a
// header, without the spaces around it.
func keyProblem(key string) string {
	switch {
	case key == "":
		return "is empty"
	case strings.TrimSpace(key) != key:
		return "begins or ends with a space, which no header value does"
	case strings.ContainsFunc(key, func(c rune) bool { return c < ' ' || c > '~' }):
		return "has a character that is in no header value"
	default:
		return ""
	}
}
