package claimer

import "github.com/bergamotdale/bergamotdale"

// eraShift is the bit of an epoch from which on it contains the era of the store.
const eraShift = 32

// eraBase returns the number above which all epochs of the store's current era are.
// Claims that a restore of the store has lost had epochs up to this number, so none of
// them is given out again, although the store does not know them any more.
func (c *Claimer) eraBase() int64 {
	return bergamotdale.StoreEra(c.store) << eraShift
}

// IsFormer reports whether the record was written before the store was restored, so
// that later claims of the name may have been lost.
func (c *Claimer) IsFormer(r Record) bool {
	return r.Found && !c.isOfEra(r.Ownership)
}

// isOfEra reports whether the ownership was written for the current era.
func (c *Claimer) isOfEra(o bergamotdale.Ownership) bool {
	return o.Epoch > c.eraBase()
}
