package bergamotdale

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the store. A store that is restored from an
// older copy starts a new era, in which it gives out revisions again: contents of
// the same revision in two eras are different contents. The zero value is before
// every content.
type Position struct {
	// Era rises with each restore of the store. It is zero for a store or a router
	// that does not state it.
	Era int64
	// Revision rises with each change within an era.
	Revision int64
}

// Compare returns a negative number if the position is before the other one, zero
// if they are equal and a positive number if it is after.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether the position is before the other one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether no content has been read yet.
func (p Position) IsZero() bool { return p == Position{} }

// Latest returns the later one of two positions.
func (p Position) Latest(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

// EraStore is a Store that tells its era.
type EraStore interface {
	Store
	// Era returns the latest era that a response of the store has stated, or zero if
	// none has. A call that returns after it rose has seen the store of that era or of
	// an earlier one.
	Era() int64
}

// StoreEra returns the era of a store, or zero if the store does not tell it.
func StoreEra(s Store) int64 {
	if e, ok := s.(EraStore); ok {
		return e.Era()
	}
	return 0
}

// String returns the position as era/revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
