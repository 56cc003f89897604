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

// controlState is the state of an engine that commands and draining change. Its
// methods may be called concurrently.
type controlState struct {
	checkFencing bool
	// incarnation identifies this start of the engine.
	incarnation string
	anyModel    bool

	mu     sync.Mutex
	models []string
	role   string
	// drained is true from the call of drain on.
	drained bool
	// highestToken is the highest fencing token of the commands so far.
	highestToken int64
}

func newControlState(models []string, role string, checkFencing bool) *controlState {
	return &controlState{
		checkFencing: checkFencing,
		incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		anyModel:     len(models) == 0,
		models:       slices.Clone(models),
		role:         role,
	}
}

func (s *controlState) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = true
}

func (s *controlState) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// serves reports whether the engine accepts requests for the model. A model that
// is loaded with a version is also served under its name without the version.
func (s *controlState) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.anyModel {
		return true
	}
	return slices.ContainsFunc(s.models, func(m string) bool { return m == model || baseName(m) == model })
}

// fillLoad sets the fields of the load report that come from the control state.
func (s *controlState) fillLoad(load *bergamotdale.EngineLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load.Models = slices.Clone(s.models)
	load.Role, load.Draining, load.Incarnation = s.role, s.drained, s.incarnation
}

// apply applies a command. It returns false and changes nothing if fencing tokens
// are checked and the token of the command is lower than an earlier one.
func (s *controlState) apply(c bergamotdale.Command) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkFencing && c.FencingToken < s.highestToken {
		return false
	}
	s.highestToken = max(s.highestToken, c.FencingToken)
	switch c.Kind {
	case bergamotdale.CommandRole:
		s.role = c.Target
	case bergamotdale.CommandLoad:
		s.unload(c.Target)
		s.models = append(s.models, versionedName(c.Target, c.Version))
	case bergamotdale.CommandUnload:
		s.unload(c.Target)
	}
	return true
}

// unload removes all versions of the model or adapter. The caller holds mu.
func (s *controlState) unload(target string) {
	s.models = slices.DeleteFunc(s.models, func(m string) bool { return baseName(m) == target })
}

// versionedName returns the name of a model or adapter with its version, as in
// "model@2".
func versionedName(target, version string) string {
	if version == "" {
		return target
	}
	return target + "@" + version
}

// baseName returns the name of a model or adapter without its version.
func baseName(model string) string {
	name, _, _ := strings.Cut(model, "@")
	return name
}

func (s *Server) serveCommand(w http.ResponseWriter, r *http.Request) {
	c := bergamotdale.Command{}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "the command is not valid JSON: %v", err))
		return
	}
	switch c.Kind {
	case bergamotdale.CommandLoad, bergamotdale.CommandUnload, bergamotdale.CommandRole:
	default:
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "unknown command kind %q", c.Kind))
		return
	}
	if !s.control.apply(c) {
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeInProgress, "the fencing token %d of the command is lower than that of an earlier command", c.FencingToken))
		return
	}
	s.stats.countCommand()
	s.recordLoad()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !s.batcher.Cancel(r.PathValue("id")) {
		http.Error(w, "no request with this id is queued or running", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	load := bergamotdale.EngineLoad{}
	s.control.fillLoad(&load)
	data := []model{}
	for _, m := range load.Models {
		data = append(data, model{m, "model"})
	}
	replier.JSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", data})
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	replier.JSON(w, http.StatusOK, s.cache.EventsAfter(after, time.Now()))
}

// serveCacheExport returns the whole cache, or the prefix with the given hash and
// the shorter prefixes that it contains.
func (s *Server) serveCacheExport(w http.ResponseWriter, r *http.Request) {
	if hash := r.URL.Query().Get("prefix"); hash != "" {
		replier.JSON(w, http.StatusOK, s.cache.ExportPrefix(hash))
		return
	}
	replier.JSON(w, http.StatusOK, s.cache.Export())
}

func (s *Server) serveCacheImport(w http.ResponseWriter, r *http.Request) {
	var prefixes []enginecacher.Prefix
	if err := json.NewDecoder(r.Body).Decode(&prefixes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.cache.Import(prefixes)
	s.recordLoad()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := s.loadHistory.Lagged(time.Now(), s.LoadLag)
	load.AgeMS = s.LoadLag.Milliseconds()
	replier.JSON(w, http.StatusOK, load)
}
