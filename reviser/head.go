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
	// HeadKey is the store key of the Head.
	HeadKey = "config/head"
	// SectionPrefix precedes the hash in the store key of a section.
	SectionPrefix = "config/section/"
	// HistoryLength is the largest number of changes in the history. One takes
	// about 300 bytes and the whole head 16 KB. At 820 changes a day, reading
	// the head costs each router about 0.2 KB/s.
	HistoryLength = 50
)

// Head describes an accepted revision: the hashes of its sections and
// the history of changes that led to it.
type Head struct {
	// Revision is the number of the revision. It rises by one with each change.
	Revision int64 `json:"revision"`
	// Sections maps the name of each section to its hash.
	Sections map[string]string `json:"sections"`
	// History lists the last changes, the newest first. The first one led to
	// Revision.
	History []Change `json:"history"`
}

// Change describes how a revision differs from the one before it.
type Change struct {
	Revision int64 `json:"revision"`
	// Nonce is a random value that the writer draws. After an ambiguous write the
	// writer looks for it in the history to find out whether the write took
	// effect.
	Nonce   string    `json:"nonce"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Comment string    `json:"comment"`
	// Replaced maps the name of each section that changed to the hash it had
	// before, or to "" if the section is new.
	Replaced map[string]string `json:"replaced"`
}

// SectionKey returns the store key of a section.
func SectionKey(hash string) string {
	return SectionPrefix + hash
}

// DecodeHead decodes the value of HeadKey and validates the head.
func DecodeHead(data []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(data, h); err != nil {
		return nil, errors.Annotate(err, "decoding the configuration head")
	}
	if err := h.Validate(); err != nil {
		return nil, err
	}
	return h, nil
}

// Validate returns an error unless the history begins with the change that led
// to Revision and the head has a hash for each section. Followers rely on both.
func (h *Head) Validate() error {
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

// changeOf returns the change that led to a revision, if the history has it.
func (h *Head) changeOf(revision int64) (Change, bool) {
	for _, c := range h.History {
		if c.Revision == revision {
			return c, true
		}
	}
	return Change{}, false
}

// SectionsAt returns the section hashes of a revision by undoing the changes
// after it. It reports false if the history does not have the revision.
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

// nextHead returns the head of the revision that follows h, with the given
// sections. h is nil before the first revision.
func (h *Head) nextHead(sections []splitter.Section, c Change) *Head {
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

// referencedHashes returns the hashes of all sections that the head's revision or
// an earlier one in its history consists of.
func (h *Head) referencedHashes() map[string]bool {
	refs := map[string]bool{}
	if h == nil {
		return refs
	}
	for hash := range maps.Values(h.Sections) {
		refs[hash] = true
	}
	// Sections that the oldest change replaced belong to a revision that the
	// history no longer has.
	for _, c := range h.History[:len(h.History)-1] {
		for hash := range maps.Values(c.Replaced) {
			refs[hash] = true
		}
	}
	delete(refs, "")
	return refs
}

// unreferencedBy returns the hashes that h references and next does not, sorted.
func (h *Head) unreferencedBy(next *Head) []string {
	kept := next.referencedHashes()
	var hashes []string
	for hash := range h.referencedHashes() {
		if !kept[hash] {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	return hashes
}
