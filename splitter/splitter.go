// Package splitter splits a configuration document into sections that are stored
// under the hash of their content, and joins them again. A change of the
// configuration then transfers only the changed sections instead of the document.
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

// RoutingSection is the name of the section that holds everything except
// workspaces.
const RoutingSection = "routing"

// WorkspaceSectionCount is the number of sections over which the workspaces are
// distributed. A change of one of 3,500 workspaces then transfers a sixteenth of
// them.
const WorkspaceSectionCount = 16

// MaxSectionBytes is the size limit of a section: the largest value that the
// platform's store accepts.
const MaxSectionBytes = 1 << 20

// Section is a part of a document that is stored under its hash. Its data is JSON:
// JSON decodes faster than YAML, and during an upgrade a router ignores fields that
// are newer than its version instead of rejecting the revision.
type Section struct {
	Name string
	// Hash is the SHA-256 hash of Data in hexadecimal digits.
	Hash string
	Data []byte
}

// Hash returns the hash under which section data is stored.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// SectionNames returns the names of all sections, RoutingSection first.
func SectionNames() []string {
	names := []string{RoutingSection}
	for i := range WorkspaceSectionCount {
		names = append(names, workspaceSectionName(i))
	}
	return names
}

func workspaceSectionName(i int) string {
	return fmt.Sprintf("workspaces-%02d", i)
}

// Split returns the sections of a document. Equal documents have equal sections,
// whatever the formatting of their YAML or the order of their workspaces.
func Split(d *validator.Document) ([]Section, error) {
	routing := *d
	routing.Workspaces = nil
	var parts [WorkspaceSectionCount][]validator.WorkspaceSpec
	for _, w := range d.Workspaces {
		i := hasher.Hash(w.Name) % WorkspaceSectionCount
		parts[i] = append(parts[i], w)
	}
	sections := make([]Section, 0, 1+WorkspaceSectionCount)
	first, err := newSection(RoutingSection, routing)
	if err != nil {
		return nil, err
	}
	sections = append(sections, first)
	for i, part := range parts {
		sortByName(part)
		s, err := newSection(workspaceSectionName(i), part)
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
		return Section{}, errors.Annotatef(err, "encoding section %s", name)
	}
	if len(data) > MaxSectionBytes {
		return Section{}, errors.NotValidf("section %s of %d bytes (limit of the store: %d bytes)", name, len(data), MaxSectionBytes)
	}
	return Section{Name: name, Hash: Hash(data), Data: data}, nil
}

// Join returns the document that the sections form. data holds the data of each
// section by name. The workspaces are sorted by name.
func Join(data map[string][]byte) (*validator.Document, error) {
	d := &validator.Document{}
	for _, name := range SectionNames() {
		section, ok := data[name]
		if !ok {
			return nil, errors.NotFoundf("data of section %s", name)
		}
		if err := decodeSection(d, name, section); err != nil {
			return nil, errors.Annotatef(err, "decoding section %s", name)
		}
	}
	sortByName(d.Workspaces)
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

func sortByName(workspaces []validator.WorkspaceSpec) {
	slices.SortFunc(workspaces, func(a, b validator.WorkspaceSpec) int { return strings.Compare(a.Name, b.Name) })
}
