package validator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bergamotdale/bergamotdale/validator"
)

// Guards against a fault of a document that is accepted, is reported without
// its position, or hides another one.
func TestFaultsAreReportedAtOnce(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml.errors")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 2)
	for _, expected := range files {
		name := strings.TrimSuffix(filepath.Base(expected), ".errors")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", name))
			assert.NilError(t, err)
			_, err = validator.Parse(name, data)
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", filepath.Base(expected))
		})
	}
}

// target returns a document of the target size.
func target() *validator.Document {
	d := &validator.Document{}
	d.SetDefaults()
	for i, name := range []string{"urgent", "steady", "bulk"} {
		d.PriorityClasses = append(d.PriorityClasses, validator.PriorityClassSpec{
			Name: name, Level: i, MinShare: 0.3, MaxWait: 2e9, FirstTokenTarget: 1e9,
		})
	}
	var models []string
	for i := range 33 {
		models = append(models, fmt.Sprintf("model-%02d", i))
		d.Models = append(d.Models, validator.ModelSpec{Name: models[i]})
	}
	for i := range 750 {
		d.Engines = append(d.Engines, validator.EngineSpec{
			Name: fmt.Sprintf("engine-%03d", i), Address: fmt.Sprintf("127.1.%d.%d:8000", i/250, 1+i%250),
			FailureDomain: "a", Models: models[i%33 : i%33+1], MaxConcurrency: 64,
		})
	}
	for i := range 3500 {
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
		d.Workspaces = append(d.Workspaces, validator.WorkspaceSpec{
			Name: fmt.Sprintf("workspace-%04d", i), Weight: 1, TokensPerSecond: 500, Models: models[i%30 : i%30+3],
			DefaultPriorityClass: "steady", APIKeys: []string{hex.EncodeToString(sum[:])},
		})
	}
	return d
}

// Guards against a look-up that misses what the document declares.
func TestCompiledLookups(t *testing.T) {
	c, err := validator.Compile(target(), 9)
	assert.NilError(t, err)
	assert.Equal(t, c.Revision(), int64(9))
	w, ok := c.WorkspaceByAPIKey("key-31")
	assert.Assert(t, ok)
	assert.Equal(t, w.Name(), "workspace-0031")
	assert.Equal(t, w.DefaultPriorityClass().Rank(), 1)
	for _, m := range c.Models() {
		allowed := m.Name() == "model-01" || m.Name() == "model-02" || m.Name() == "model-03"
		assert.Equal(t, w.Allows(m), allowed, m.Name())
	}
	m, ok := c.Model("model-32")
	assert.Assert(t, ok)
	assert.Equal(t, len(m.Engines()), 22)
	_, ok = c.WorkspaceByAPIKey("key-3500")
	assert.Assert(t, !ok)
}

// Guards against an adapter that is served by other engines than its model.
func TestAdapterSharesTheGroupOfItsModel(t *testing.T) {
	d := target()
	d.Adapters = []validator.AdapterSpec{{Name: "a-first-by-name", Model: "model-07"}}
	c, err := validator.Compile(d, 1)
	assert.NilError(t, err)
	a, ok := c.Model("a-first-by-name")
	assert.Assert(t, ok && a.Adapter())
	assert.Equal(t, a.Group(), "model-07")
	base, _ := c.Model("model-07")
	assert.DeepEqual(t, a.EngineNames(), base.EngineNames())
}

// Guards against a malformed document from the store that panics the router.
func TestCompileRefusesInconsistentDocuments(t *testing.T) {
	for name, spoil := range map[string]func(*validator.Document){
		"unknown class": func(d *validator.Document) { d.Workspaces[0].DefaultPriorityClass = "none" },
		"unknown model": func(d *validator.Document) { d.Engines[0].Models = []string{"none"} },
		"nested":        func(d *validator.Document) { d.Adapters = []validator.AdapterSpec{{Name: "a", Model: "none"}} },
		"hash":          func(d *validator.Document) { d.Workspaces[0].APIKeys = []string{"zz"} },
	} {
		d := target()
		spoil(d)
		_, err := validator.Compile(d, 1)
		assert.Assert(t, err != nil, name)
	}
}

func BenchmarkCompile(b *testing.B) {
	d := target()
	b.ReportAllocs()
	for b.Loop() {
		_, err := validator.Compile(d, 1)
		assert.NilError(b, err)
	}
}

func BenchmarkParse(b *testing.B) {
	text, err := target().YAML()
	assert.NilError(b, err)
	b.ReportMetric(float64(len(text)), "bytes")
	for b.Loop() {
		_, err := validator.Parse("target", text)
		assert.NilError(b, err)
	}
}

func BenchmarkLookup(b *testing.B) {
	c, err := validator.Compile(target(), 1)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		w, _ := c.WorkspaceByAPIKey("key-31")
		m, _ := c.Model("model-07")
		_ = w.Allows(m)
	}
}
