package journaler

import (
	"bytes"
	"time"

	"github.com/juju/errors"
)

// Entry is the newest committed record of a key, without the response. Its
// size decides how many records a router can remember.
type Entry struct {
	At      int64
	Segment int64
	Hash    Hash
	State   State
}

// Line is an encoded record of the open segment.
type Line struct {
	ID   ID
	At   int64
	Text []byte
}

// Journal is the committed content of a shard. Propose builds the next value of
// the head, and Apply takes it over once it is committed.
type Journal struct {
	lifetime time.Duration
	head     Head
	open     []Line
	// openBytes is the size of the lines in open.
	openBytes int
	index     map[ID]Entry
	// latest is the time of the newest record. It never falls, so records
	// expire in the order of their segments whatever the owners' clocks show.
	latest int64
}

// Load returns the journal that a head describes. values holds the values of
// the sealed segments in the order of the head. Records that are older than the
// lifetime are left out.
func Load(h Head, lines []byte, values [][]byte, lifetime time.Duration, now time.Time) (*Journal, error) {
	j := &Journal{lifetime: lifetime, head: h, index: map[ID]Entry{}}
	for i, v := range values {
		_, sealed, _ := bytes.Cut(v, []byte("\n"))
		if err := j.load(h.Sealed[i].Number, sealed, now.UnixMilli()); err != nil {
			return nil, errors.Annotatef(err, "segment %d", h.Sealed[i].Number)
		}
	}
	if err := j.load(h.Number, lines, now.UnixMilli()); err != nil {
		return nil, errors.Annotatef(err, "head")
	}
	return j, nil
}

// load adds the lines of a segment, in the order of the segments.
func (j *Journal) load(number int64, lines []byte, now int64) error {
	return eachRecord(lines, func(r Record, text []byte) {
		j.latest = max(j.latest, r.At)
		if j.expired(r.At, now) {
			return
		}
		j.index[r.id] = Entry{At: r.At, Segment: number, Hash: r.hash, State: r.State}
		if number == j.head.Number {
			j.open = append(j.open, Line{ID: r.id, At: r.At, Text: bytes.Clone(text)})
			j.openBytes += len(text)
		}
	})
}

// Head returns the committed head.
func (j *Journal) Head() Head {
	return j.head
}

// Claim changes the owner that the next proposal states.
func (j *Journal) Claim(epoch int64, owner, instance string) {
	j.head.Epoch = epoch
	j.head.Owner = owner
	j.head.Instance = instance
	j.head.Sequence = 0
}

// Records returns the number of keys in memory.
func (j *Journal) Records() int {
	return len(j.index)
}

// Now returns the time for new records.
func (j *Journal) Now(t time.Time) int64 {
	j.latest = max(j.latest, t.UnixMilli())
	return j.latest
}

func (j *Journal) expired(at, now int64) bool {
	return now-at >= j.lifetime.Milliseconds()
}

// Lookup returns the committed entry of a key that has not expired.
func (j *Journal) Lookup(id ID, now int64) Entry {
	e, ok := j.index[id]
	if !ok || j.expired(e.At, now) {
		return Entry{}
	}
	return e
}

// State returns the committed state of a key, expired or not.
func (j *Journal) State(id ID) State {
	return j.index[id].State
}

// SetState changes the state of a committed record in memory.
func (j *Journal) SetState(id ID, s State) {
	e := j.index[id]
	e.State = s
	j.index[id] = e
}

// Find returns the line of a committed key in the open segment, or else the
// sealed segment that holds it.
func (j *Journal) Find(id ID) ([]byte, Segment) {
	for _, l := range j.open {
		if l.ID == id {
			return l.Text, Segment{}
		}
	}
	for _, s := range j.head.Sealed {
		if s.Number == j.index[id].Segment {
			return nil, s
		}
	}
	return nil, Segment{}
}

// Seal returns the open segment with its lines where they exceed the size.
func (j *Journal) Seal(size int) (Segment, []byte, bool) {
	if j.openBytes <= size {
		return Segment{}, nil, false
	}
	s := Segment{Number: j.head.Number, Writer: j.head.Instance}
	lines := make([]byte, 0, j.openBytes)
	for _, l := range j.open {
		lines = append(lines, l.Text...)
		s.Newest = max(s.Newest, l.At)
	}
	return s, lines, true
}

// NextExpiry returns the time at which the first sealed segment expires.
func (j *Journal) NextExpiry() (time.Time, bool) {
	if len(j.head.Sealed) == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(j.head.Sealed[0].Newest).Add(j.lifetime), true
}

// Addition is a record that the next head commits.
type Addition struct {
	Line
	Hash  Hash
	State State
}

// Proposal is a head that is not committed yet.
type Proposal struct {
	// Value is the value of the head.
	Value []byte
	// Dropped are the sealed segments that the head no longer lists.
	Dropped []Segment

	head      Head
	open      []Line
	openBytes int
	additions []Addition
}

// Propose builds the next head from the committed one and the additions.
// sealed is the stored segment that holds the present open lines, or nil.
// Besides the sequence, which is never used twice, the journal does not change.
func (j *Journal) Propose(additions []Addition, sealed *Segment, now int64) (Proposal, error) {
	j.head.Sequence++
	p := Proposal{head: j.head, additions: additions}
	p.head.Sealed = nil
	for _, s := range j.head.Sealed {
		if j.expired(s.Newest, now) {
			p.Dropped = append(p.Dropped, s)
		} else {
			p.head.Sealed = append(p.head.Sealed, s)
		}
	}
	if sealed != nil {
		p.head.Sealed = append(p.head.Sealed, *sealed)
		p.head.Number++
	} else {
		p.keepOpen(j, now)
	}
	for _, a := range additions {
		p.add(a.Line)
	}
	first, err := encodeLine(p.head)
	if err != nil {
		return p, err
	}
	p.Value = make([]byte, 0, len(first)+p.openBytes)
	p.Value = append(p.Value, first...)
	for _, l := range p.open {
		p.Value = append(p.Value, l.Text...)
	}
	return p, nil
}

// keepOpen copies the open lines that have not expired and are not replaced.
func (p *Proposal) keepOpen(j *Journal, now int64) {
	replaced := make(map[ID]struct{}, len(p.additions))
	for _, a := range p.additions {
		replaced[a.ID] = struct{}{}
	}
	p.open = make([]Line, 0, len(j.open)+len(p.additions))
	for _, l := range j.open {
		if _, ok := replaced[l.ID]; !ok && !j.expired(l.At, now) {
			p.add(l)
		}
	}
}

func (p *Proposal) add(l Line) {
	p.open = append(p.open, l)
	p.openBytes += len(l.Text)
}

// Apply takes over a proposal that is committed. It returns an error where an
// intent would follow a call that may have run: the shard must stop then.
func (j *Journal) Apply(p Proposal, now int64) error {
	for _, a := range p.additions {
		old := j.Lookup(a.ID, now).State
		if a.State == Intent && old != Absent && old != Free && old != Unused {
			return errors.Errorf("intent committed after state %d of the same key", old)
		}
		j.index[a.ID] = Entry{At: a.At, Segment: p.head.Number, Hash: a.Hash, State: a.State}
	}
	if p.head.Number == j.head.Number {
		j.forgetExpired(j.open, now)
	}
	j.head, j.open, j.openBytes = p.head, p.open, p.openBytes
	for _, s := range p.Dropped {
		j.forgetSegment(s.Number)
	}
	return nil
}

func (j *Journal) forgetExpired(lines []Line, now int64) {
	for _, l := range lines {
		if e, ok := j.index[l.ID]; ok && j.expired(e.At, now) {
			delete(j.index, l.ID)
		}
	}
}

func (j *Journal) forgetSegment(number int64) {
	for id, e := range j.index {
		if e.Segment == number {
			delete(j.index, id)
		}
	}
}
