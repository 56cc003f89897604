package validator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bergamotdale/bergamotdale/differ"
	"github.com/bergamotdale/bergamotdale/splitter"
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

// Guards against a document that changes on its way through sections or YAML,
// and against sections that depend on the order of workspaces.
func TestSectionsAndTextKeepTheDocument(t *testing.T) {
	d := target()
	sections, err := splitter.Split(d)
	assert.NilError(t, err)
	shuffled := target()
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled.Workspaces), func(i, j int) {
		shuffled.Workspaces[i], shuffled.Workspaces[j] = shuffled.Workspaces[j], shuffled.Workspaces[i]
	})
	again, err := splitter.Split(shuffled)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(sections, again))

	data := map[string][]byte{}
	for _, s := range sections {
		data[s.Name] = s.Data
		assert.Assert(t, len(s.Data) < 200<<10, "%s has %d bytes", s.Name, len(s.Data))
	}
	joined, err := splitter.Join(data)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(joined, d))

	text, err := d.YAML()
	assert.NilError(t, err)
	parsed, err := validator.Parse("printed", text)
	assert.NilError(t, err)
	assert.Equal(t, len(differ.Compare(d, parsed)), 0)
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

// Guards against a difference that is missed or listed for a mere move.
func TestCompare(t *testing.T) {
	before, after := target(), target()
	after.Engines[0], after.Engines[1] = after.Engines[1], after.Engines[0]
	assert.Equal(t, len(differ.Compare(before, after)), 0)

	after.Workspaces[3].Weight = 2.5
	after.Models = append(after.Models[1:], validator.ModelSpec{Name: "model-new"})
	after.Limits.RetryRatio = 0.2
	var lines []string
	for _, d := range differ.Compare(before, after) {
		lines = append(lines, d.String())
	}
	assert.DeepEqual(t, lines, []string{
		"- models[model-00]: {name: model-00}",
		"+ models[model-new]: {name: model-new}",
		"~ workspaces[workspace-0003].weight: 1 -> 2.5",
		"~ limits.retry-ratio: 0.1 -> 0.2",
	})
}

// Bounds the cost of bringing a revision of the target size in force.
func BenchmarkJoinAndCompile(b *testing.B) {
	sections, err := splitter.Split(target())
	assert.NilError(b, err)
	data := map[string][]byte{}
	for _, s := range sections {
		data[s.Name] = s.Data
	}
	b.ReportAllocs()
	for b.Loop() {
		d, err := splitter.Join(data)
		assert.NilError(b, err)
		_, err = validator.Compile(d, 1)
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
