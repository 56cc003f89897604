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

// Guards against an error in a document that is accepted, is reported without
// its position, or hides another error.
func TestAllErrorsAreReported(t *testing.T) {
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

// newFullSizeDocument returns a document of the size that the fleet is designed
// for: 33 models, 750 engines and 3,500 workspaces.
func newFullSizeDocument() *validator.Document {
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

// Guards against a look-up that does not find an entry of the document or finds
// another one.
func TestCompiledLookups(t *testing.T) {
	c, err := validator.Compile(newFullSizeDocument(), 9)
	assert.NilError(t, err)
	assert.Equal(t, c.Revision(), int64(9))
	w, ok := c.WorkspaceByAPIKey("key-31")
	assert.Assert(t, ok)
	assert.Equal(t, w.Name(), "workspace-0031")
	assert.Equal(t, w.DefaultPriorityClass().Rank(), 1)
	for _, m := range c.Models() {
		wantAllowed := m.Name() == "model-01" || m.Name() == "model-02" || m.Name() == "model-03"
		assert.Equal(t, w.Allows(m), wantAllowed, m.Name())
	}
	m, ok := c.Model("model-32")
	assert.Assert(t, ok)
	assert.Equal(t, len(m.Engines()), 22)
	_, ok = c.WorkspaceByAPIKey("key-3500")
	assert.Assert(t, !ok)
}

// Guards against an adapter that is not served by exactly the engines of its base
// model.
func TestAdapterSharesTheGroupOfItsModel(t *testing.T) {
	d := newFullSizeDocument()
	d.Adapters = []validator.AdapterSpec{{Name: "a-first-by-name", Model: "model-07"}}
	c, err := validator.Compile(d, 1)
	assert.NilError(t, err)
	adapter, ok := c.Model("a-first-by-name")
	assert.Assert(t, ok && adapter.IsAdapter())
	assert.Equal(t, adapter.GroupName(), "model-07")
	base, _ := c.Model("model-07")
	assert.DeepEqual(t, adapter.EngineNames(), base.EngineNames())
}

// Guards against an inconsistent document from the store that makes the router
// panic.
func TestCompileRejectsInconsistentDocuments(t *testing.T) {
	for name, corrupt := range map[string]func(*validator.Document){
		"unknown class": func(d *validator.Document) { d.Workspaces[0].DefaultPriorityClass = "none" },
		"unknown model": func(d *validator.Document) { d.Engines[0].Models = []string{"none"} },
		"nested":        func(d *validator.Document) { d.Adapters = []validator.AdapterSpec{{Name: "a", Model: "none"}} },
		"hash":          func(d *validator.Document) { d.Workspaces[0].APIKeys = []string{"zz"} },
	} {
		d := newFullSizeDocument()
		corrupt(d)
		_, err := validator.Compile(d, 1)
		assert.Assert(t, err != nil, name)
	}
}

func BenchmarkCompile(b *testing.B) {
	d := newFullSizeDocument()
	b.ReportAllocs()
	for b.Loop() {
		_, err := validator.Compile(d, 1)
		assert.NilError(b, err)
	}
}

func BenchmarkParse(b *testing.B) {
	text, err := newFullSizeDocument().YAML()
	assert.NilError(b, err)
	b.ReportMetric(float64(len(text)), "bytes")
	for b.Loop() {
		_, err := validator.Parse("target", text)
		assert.NilError(b, err)
	}
}

func BenchmarkLookup(b *testing.B) {
	c, err := validator.Compile(newFullSizeDocument(), 1)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		w, _ := c.WorkspaceByAPIKey("key-31")
		m, _ := c.Model("model-07")
		_ = w.Allows(m)
	}
}
