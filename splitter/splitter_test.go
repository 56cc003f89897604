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

// target returns the Hanbit example with 3,500 workspaces in order.
func target(t testing.TB) *validator.Document {
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

// Guards against a document that changes on its way through sections or YAML,
// and against sections that depend on the order of workspaces.
func TestSectionsAndTextKeepTheDocument(t *testing.T) {
	d := target(t)
	sections, err := splitter.Split(d)
	assert.NilError(t, err)
	shuffled := target(t)
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

// Bounds the cost of bringing a revision of the target size in force.
func BenchmarkJoinAndCompile(b *testing.B) {
	sections, err := splitter.Split(target(b))
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
