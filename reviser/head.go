package reviser

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/splitter"
)

const (
	// HeadKey is the store key of the head.
	HeadKey = "config/head"
	// SectionPrefix precedes the hash in the store key of a section.
	SectionPrefix = "config/section/"
	// HistoryLength is the number of revisions in the history. An entry takes
	// about 300 bytes and the whole head 16 KB, of which 820 changes a day cost
	// each router about 0.2 KB/s.
	HistoryLength = 50
)

// Head names the sections of the revision in force.
type Head struct {
	// Revision rises by one with each change.
	Revision int64 `json:"revision"`
	// Sections maps the name of each section to its hash.
	Sections map[string]string `json:"sections"`
	// History has the newest change first; the first one led to Revision.
	History []Change `json:"history"`
}

// Change is an entry of the history.
type Change struct {
	Revision int64 `json:"revision"`
	// Nonce is drawn by the writer. It finds its nonce in the head or history
	// if an ambiguous write took effect.
	Nonce   string    `json:"nonce"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Comment string    `json:"comment"`
	// Replaced maps each section that the change replaced to the hash it had
	// before, or to "" for a new section.
	Replaced map[string]string `json:"replaced"`
}

// SectionKey returns the store key of a section.
func SectionKey(hash string) string {
	return SectionPrefix + hash
}

// DecodeHead decodes a head and checks the parts that a follower relies on.
func DecodeHead(data []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(data, h); err != nil {
		return nil, errors.Annotate(err, "configuration head")
	}
	if err := h.Check(); err != nil {
		return nil, err
	}
	return h, nil
}

// Check returns an error if the head lacks a part that a follower relies on.
func (h *Head) Check() error {
	if h.Revision < 1 || len(h.History) == 0 || h.History[0].Revision != h.Revision {
		return errors.NotValidf("configuration head with revision %d and %d history entries", h.Revision, len(h.History))
	}
	for _, name := range splitter.SectionNames() {
		if h.Sections[name] == "" {
			return errors.NotValidf("configuration head of revision %d without section %s", h.Revision, name)
		}
	}
	return nil
}

func (h *Head) encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return data, errors.Trace(err)
}

// Nonce identifies the write that led to this head.
func (h *Head) Nonce() string {
	return h.History[0].Nonce
}

// change returns the history entry of a revision.
func (h *Head) change(revision int64) (Change, bool) {
	for _, c := range h.History {
		if c.Revision == revision {
			return c, true
		}
	}
	return Change{}, false
}

// SectionsAt returns the section hashes of an earlier revision by undoing the
// changes after it. It reports false if the history does not reach that far.
func (h *Head) SectionsAt(revision int64) (map[string]string, bool) {
	if revision > h.Revision || revision < 1 {
		return nil, false
	}
	sections := maps.Clone(h.Sections)
	for _, c := range h.History {
		if c.Revision == revision {
			return sections, true
		}
		for name, hash := range c.Replaced {
			sections[name] = hash
		}
	}
	return nil, false
}

// next returns the head that follows h (nil for none) with the sections.
func (h *Head) next(sections []splitter.Section, c Change) *Head {
	n := &Head{Sections: map[string]string{}}
	c.Replaced = map[string]string{}
	previous := map[string]string{}
	if h != nil {
		n.Revision = h.Revision
		previous = h.Sections
		n.History = h.History
	}
	for _, s := range sections {
		n.Sections[s.Name] = s.Hash
		if previous[s.Name] != s.Hash {
			c.Replaced[s.Name] = previous[s.Name]
		}
	}
	n.Revision++
	c.Revision = n.Revision
	n.History = append([]Change{c}, n.History...)
	n.History = n.History[:min(len(n.History), HistoryLength)]
	return n
}

// references returns the hashes of all sections that the head or a revision of
// its history consists of.
func (h *Head) references() map[string]bool {
	refs := map[string]bool{}
	if h == nil {
		return refs
	}
	for hash := range maps.Values(h.Sections) {
		refs[hash] = true
	}
	// The oldest entry's replaced sections belong to a revision that the
	// history no longer reaches.
	for _, c := range h.History[:len(h.History)-1] {
		for hash := range maps.Values(c.Replaced) {
			refs[hash] = true
		}
	}
	delete(refs, "")
	return refs
}

// dropped returns the hashes that h references and next does not, sorted.
func (h *Head) dropped(next *Head) []string {
	kept := next.references()
	var hashes []string
	for hash := range h.references() {
		if !kept[hash] {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	return hashes
}
