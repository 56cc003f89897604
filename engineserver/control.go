package engineserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/enginecacher"
	"github.com/bergamotdale/bergamotdale/replier"
)

// setup is what commands change.
type setup struct {
	checkFencing bool
	incarnation  string
	anyModel     bool

	mu     sync.Mutex
	models []string
	role   string
	drains bool
	token  int64
}

func newSetup(models []string, role string, checkFencing bool) *setup {
	return &setup{
		checkFencing: checkFencing,
		incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		anyModel:     len(models) == 0,
		models:       slices.Clone(models),
		role:         role,
	}
}

func (s *setup) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = true
}

func (s *setup) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains
}

func (s *setup) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.anyModel {
		return true
	}
	return slices.ContainsFunc(s.models, func(m string) bool { return m == model || baseName(m) == model })
}

func (s *setup) describe(l *bergamotdale.EngineLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.Models = slices.Clone(s.models)
	l.Role, l.Draining, l.Incarnation = s.role, s.drains, s.incarnation
}

// apply executes a command, or reports that its fencing token is stale.
func (s *setup) apply(c bergamotdale.Command) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkFencing && c.FencingToken < s.token {
		return false
	}
	s.token = max(s.token, c.FencingToken)
	switch c.Kind {
	case bergamotdale.CommandRole:
		s.role = c.Target
	case bergamotdale.CommandLoad:
		s.unload(c.Target)
		s.models = append(s.models, versioned(c.Target, c.Version))
	case bergamotdale.CommandUnload:
		s.unload(c.Target)
	}
	return true
}

func (s *setup) unload(target string) {
	s.models = slices.DeleteFunc(s.models, func(m string) bool { return baseName(m) == target })
}

// versioned names a model or adapter with its version.
func versioned(target, version string) string {
	if version == "" {
		return target
	}
	return target + "@" + version
}

func baseName(model string) string {
	name, _, _ := strings.Cut(model, "@")
	return name
}

func (s *Server) command(w http.ResponseWriter, r *http.Request) {
	c := bergamotdale.Command{}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "%v", err))
		return
	}
	switch c.Kind {
	case bergamotdale.CommandLoad, bergamotdale.CommandUnload, bergamotdale.CommandRole:
	default:
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "unknown command %q", c.Kind))
		return
	}
	if !s.setup.apply(c) {
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeInProgress, "stale fencing token %d", c.FencingToken))
		return
	}
	s.stats.command()
	s.report()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	if !s.batch.Cancel(r.PathValue("id")) {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	l := bergamotdale.EngineLoad{}
	s.setup.describe(&l)
	data := []model{}
	for _, m := range l.Models {
		data = append(data, model{m, "model"})
	}
	replier.JSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", data})
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	replier.JSON(w, http.StatusOK, s.cache.EventsAfter(after, time.Now()))
}

// exportCache serves the whole cache, or the prefix with the hash.
func (s *Server) exportCache(w http.ResponseWriter, r *http.Request) {
	if hash := r.URL.Query().Get("prefix"); hash != "" {
		replier.JSON(w, http.StatusOK, s.cache.ExportPrefix(hash))
		return
	}
	replier.JSON(w, http.StatusOK, s.cache.Export())
}

func (s *Server) importCache(w http.ResponseWriter, r *http.Request) {
	var all []enginecacher.Prefix
	if err := json.NewDecoder(r.Body).Decode(&all); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.cache.Import(all)
	s.report()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	l := s.reports.Lagged(time.Now(), s.LoadLag)
	l.AgeMS = s.LoadLag.Milliseconds()
	replier.JSON(w, http.StatusOK, l)
}
