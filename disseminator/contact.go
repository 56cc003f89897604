package disseminator

import "time"

// contactMemory is how long a contact is kept beside later ones of other
// routers. It is longer than a message can be under way.
const contactMemory = time.Minute

// StoreContact is one contact of a router with the store, as a message
// carries it.
type StoreContact struct {
	// Router and Incarnation name the process that had the contact, and Count
	// the contact among its own. They tell a contact that is heard again from a
	// later one: its age at the receiver leaves out the time under way, so a
	// contact without a name would grow younger with each message.
	Router      string `json:"router"`
	Incarnation int64  `json:"incarnation"`
	Count       int64  `json:"count"`
	// AgeMS is the time since the contact in milliseconds.
	AgeMS int64 `json:"age-ms"`
}

// contact is the latest contact of one router. at is the earliest moment that
// a message has shown, never before the contact itself.
type contact struct {
	incarnation int64
	count       int64
	at          time.Time
}

func (c contact) before(incarnation, count int64) bool {
	return c.incarnation < incarnation || c.incarnation == incarnation && c.count < count
}

// SetStoreContact records a contact of this router with the store.
func (m *Table) SetStoreContact(at time.Time) {
	known := m.contacts[m.self.ID]
	if !at.After(known.at) {
		return
	}
	m.contacts[m.self.ID] = contact{incarnation: m.self.Incarnation, count: known.count + 1, at: at}
}

// hearContact merges a contact that a message carried.
func (m *Table) hearContact(now time.Time, c *StoreContact) {
	if c == nil || c.AgeMS < 0 || c.Router == m.self.ID {
		return
	}
	at := now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
	known, ok := m.contacts[c.Router]
	switch {
	case !ok || known.before(c.Incarnation, c.Count):
		m.contacts[c.Router] = contact{incarnation: c.Incarnation, count: c.Count, at: at}
	case known.incarnation == c.Incarnation && known.count == c.Count && at.Before(known.at):
		known.at = at
		m.contacts[c.Router] = known
	}
	_, latest, _ := m.latestContact()
	for router, other := range m.contacts {
		if router != m.self.ID && latest.at.Sub(other.at) > contactMemory {
			delete(m.contacts, router)
		}
	}
}

// latestContact returns the router with the latest contact, and the contact.
func (m *Table) latestContact() (string, contact, bool) {
	router, latest := "", contact{}
	for id, c := range m.contacts {
		if router == "" || c.at.After(latest.at) || c.at.Equal(latest.at) && id < router {
			router, latest = id, c
		}
	}
	return router, latest, router != ""
}

// StoreAge returns the time since the latest contact of any router with the
// store that this router knows of.
func (m *Table) StoreAge(now time.Time) (time.Duration, bool) {
	_, latest, ok := m.latestContact()
	if !ok {
		return 0, false
	}
	return max(0, now.Sub(latest.at)), true
}

// StoreContact returns the latest contact for a message, nil without any.
func (m *Table) StoreContact(now time.Time) *StoreContact {
	router, latest, ok := m.latestContact()
	if !ok {
		return nil
	}
	return &StoreContact{
		Router: router, Incarnation: latest.incarnation, Count: latest.count,
		AgeMS: max(0, now.Sub(latest.at)).Milliseconds(),
	}
}
