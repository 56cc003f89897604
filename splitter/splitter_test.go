package splitter_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/differ"
	"github.com/bergamotdale/bergamotdale/splitter"
	"github.com/bergamotdale/bergamotdale/validator"
)

// targetSizeDocument returns the Hanbit example configuration with the target
// number of 3,500 workspaces, sorted by name.
func targetSizeDocument(t testing.TB) *validator.Document {
	data, err := os.ReadFile("../examples/hanbit/configuration.yaml")
	assert.NilError(t, err)
	d, err := validator.Parse("hanbit", data)
	assert.NilError(t, err)
	one := d.Workspaces[0]
	d.Workspaces = nil
	for i := range 3500 {
		one.Name = fmt.Sprintf("workspace-%04d", i)
		one.APIKeys = []string{fmt.Sprintf("%064x", i)}
		d.Workspaces = append(d.Workspaces, one)
	}
	return d
}

// Guards against a document that changes when it is split and joined or printed as
// YAML and parsed, and against sections that depend on the order of workspaces.
func TestDocumentSurvivesSplitAndYAML(t *testing.T) {
	d := targetSizeDocument(t)
	sections, err := splitter.Split(d)
	assert.NilError(t, err)
	shuffled := targetSizeDocument(t)
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

// BenchmarkJoinAndCompile measures how long a router takes to join and compile a
// configuration revision of the target size before it applies the revision.
func BenchmarkJoinAndCompile(b *testing.B) {
	sections, err := splitter.Split(targetSizeDocument(b))
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
