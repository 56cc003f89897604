// Package splitter turns a configuration document into content-addressed
// sections and back, so that a change transfers a section instead of the whole
// document.
package splitter

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/validator"
)

// RoutingSection is the name of the section with everything but workspaces.
const RoutingSection = "routing"

// WorkspaceSections is the number of sections that workspaces are spread over.
// At 3,500 workspaces a change of one workspace then transfers a sixteenth of
// them.
const WorkspaceSections = 16

// MaxBytes is the largest value of the platform's store.
const MaxBytes = 1 << 20

// Section is a part of a document that is stored under its hash. Its data is
// JSON: it is decoded faster than YAML, and a router that does not know a
// newer field ignores it instead of refusing the revision during an upgrade.
type Section struct {
	Name string
	// Hash is the SHA-256 of Data in hexadecimal digits.
	Hash string
	Data []byte
}

// Hash returns the hash under which section data is stored.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Names returns the names of all sections.
func Names() []string {
	names := []string{RoutingSection}
	for i := range WorkspaceSections {
		names = append(names, workspaceSection(i))
	}
	return names
}

func workspaceSection(i int) string {
	return fmt.Sprintf("workspaces-%02d", i)
}

// Split returns the sections of the document. Equal documents have equal
// sections, whatever the layout of their YAML and the order of workspaces.
func Split(d *validator.Document) ([]Section, error) {
	routing := *d
	routing.Workspaces = nil
	var parts [WorkspaceSections][]validator.WorkspaceSpec
	for _, w := range d.Workspaces {
		i := hasher.Hash(w.Name) % WorkspaceSections
		parts[i] = append(parts[i], w)
	}
	sections := make([]Section, 0, 1+WorkspaceSections)
	first, err := newSection(RoutingSection, routing)
	if err != nil {
		return nil, err
	}
	sections = append(sections, first)
	for i, part := range parts {
		sortSpecs(part)
		s, err := newSection(workspaceSection(i), part)
		if err != nil {
			return nil, err
		}
		sections = append(sections, s)
	}
	return sections, nil
}

func newSection(name string, v any) (Section, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return Section{}, errors.Annotatef(err, "section %s", name)
	}
	if len(data) > MaxBytes {
		return Section{}, errors.NotValidf("section %s with %d bytes, more than the %d of the store,", name, len(data), MaxBytes)
	}
	return Section{Name: name, Hash: Hash(data), Data: data}, nil
}

// Join returns the document of the sections, whose data is found by name.
// Workspaces are in the order of their names.
func Join(data map[string][]byte) (*validator.Document, error) {
	d := &validator.Document{}
	for _, name := range Names() {
		section, ok := data[name]
		if !ok {
			return nil, errors.NotFoundf("section %s", name)
		}
		if err := decodeSection(d, name, section); err != nil {
			return nil, errors.Annotatef(err, "section %s", name)
		}
	}
	sortSpecs(d.Workspaces)
	return d, nil
}

func decodeSection(d *validator.Document, name string, data []byte) error {
	if name == RoutingSection {
		return json.Unmarshal(data, d)
	}
	var part []validator.WorkspaceSpec
	if err := json.Unmarshal(data, &part); err != nil {
		return err
	}
	d.Workspaces = append(d.Workspaces, part...)
	return nil
}

func sortSpecs(all []validator.WorkspaceSpec) {
	slices.SortFunc(all, func(a, b validator.WorkspaceSpec) int { return strings.Compare(a.Name, b.Name) })
}
