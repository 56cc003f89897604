package disseminator

import "time"

// contactRetention is the time by which a contact of another router may be older than
// the latest known contact and still be kept. It is longer than a message can be in transit, so
// that a delayed message cannot bring back a contact that was removed.
const contactRetention = time.Minute

// StoreContact is one contact (a successful call) of a router with the store, in
// the form that messages carry.
type StoreContact struct {
	// Router and Incarnation identify the process that had the contact, and Count
	// numbers the contacts of that process. They distinguish a contact that is
	// received again from a later one. The age does not include the time in
	// transit, so without them a contact would appear younger with each message
	// that relays it.
	Router      string `json:"router"`
	Incarnation int64  `json:"incarnation"`
	Count       int64  `json:"count"`
	// AgeMS is the time since the contact in milliseconds.
	AgeMS int64 `json:"age-ms"`
}

// contactRecord is the latest known contact of one router. at is the earliest time
// that any message has given for it. It is never before the contact itself, because
// the ages in messages leave out the time in transit.
type contactRecord struct {
	incarnation int64
	count       int64
	at          time.Time
}

// isOlderThan reports whether c precedes the contact of the same router with the
// given incarnation and count.
func (c contactRecord) isOlderThan(incarnation, count int64) bool {
	return c.incarnation < incarnation || c.incarnation == incarnation && c.count < count
}

// SetStoreContact records a contact of this router with the store at the given
// time.
func (t *Table) SetStoreContact(at time.Time) {
	known := t.contacts[t.self.ID]
	if !at.After(known.at) {
		return
	}
	t.contacts[t.self.ID] = contactRecord{incarnation: t.self.Incarnation, count: known.count + 1, at: at}
}

// mergeContact merges a contact received in a message.
func (t *Table) mergeContact(now time.Time, c *StoreContact) {
	if c == nil || c.AgeMS < 0 || c.Router == t.self.ID {
		return
	}
	at := now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
	known, ok := t.contacts[c.Router]
	switch {
	case !ok || known.isOlderThan(c.Incarnation, c.Count):
		t.contacts[c.Router] = contactRecord{incarnation: c.Incarnation, count: c.Count, at: at}
	case known.incarnation == c.Incarnation && known.count == c.Count && at.Before(known.at):
		known.at = at
		t.contacts[c.Router] = known
	}
	_, latest, _ := t.latestContact()
	for router, other := range t.contacts {
		if router != t.self.ID && latest.at.Sub(other.at) > contactRetention {
			delete(t.contacts, router)
		}
	}
}

// latestContact returns the latest known contact and the ID of its router.
func (t *Table) latestContact() (string, contactRecord, bool) {
	router, latest := "", contactRecord{}
	for id, c := range t.contacts {
		if router == "" || c.at.After(latest.at) || c.at.Equal(latest.at) && id < router {
			router, latest = id, c
		}
	}
	return router, latest, router != ""
}

// StoreContactAge returns the time since the latest known contact of any router
// with the store. It reports false if none is known.
func (t *Table) StoreContactAge(now time.Time) (time.Duration, bool) {
	_, latest, ok := t.latestContact()
	if !ok {
		return 0, false
	}
	return max(0, now.Sub(latest.at)), true
}

// LatestStoreContact returns the latest known contact in the form that messages
// carry, or nil if none is known.
func (t *Table) LatestStoreContact(now time.Time) *StoreContact {
	router, latest, ok := t.latestContact()
	if !ok {
		return nil
	}
	return &StoreContact{
		Router: router, Incarnation: latest.incarnation, Count: latest.count,
		AgeMS: max(0, now.Sub(latest.at)).Milliseconds(),
	}
}
