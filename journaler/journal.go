package journaler

import (
	"bytes"
	"time"

	"github.com/juju/errors"
)

// Entry is the newest committed record of a key, without the response. A router
// holds one in memory per key, so its size limits how many keys it can hold.
type Entry struct {
	// At is the time of the record in milliseconds since the Unix epoch.
	At int64
	// Segment is the number of the segment that holds the record.
	Segment int64
	Hash    Hash
	State   State
}

// Line is a record in its encoded form, as the open segment holds it.
type Line struct {
	ID   ID
	At   int64
	Text []byte
}

// Journal is the committed content of a shard. Propose builds the next value of
// the head, and Apply updates the journal once the store has accepted it. A
// Journal is not safe for concurrent use.
type Journal struct {
	// lifetime is the age at which a record expires.
	lifetime  time.Duration
	head      Head
	openLines []Line
	// openBytes is the size of the lines in openLines.
	openBytes int
	index     map[ID]Entry
	// latestAt is the time of the newest record. It never decreases, so records
	// expire in the order of their segments even if the clock of a new owner is
	// behind that of the previous one.
	latestAt int64
}

// Load returns the journal that a head describes. lines holds the open segment,
// and values the stored values of the sealed segments in the order of the head.
// Expired records are left out.
func Load(h Head, lines []byte, values [][]byte, lifetime time.Duration, now time.Time) (*Journal, error) {
	j := &Journal{lifetime: lifetime, head: h, index: map[ID]Entry{}}
	for i, v := range values {
		_, sealed, _ := bytes.Cut(v, []byte("\n"))
		if err := j.loadSegment(h.Sealed[i].Number, sealed, now.UnixMilli()); err != nil {
			return nil, errors.Annotatef(err, "loading sealed segment %d", h.Sealed[i].Number)
		}
	}
	if err := j.loadSegment(h.OpenNumber, lines, now.UnixMilli()); err != nil {
		return nil, errors.Annotatef(err, "loading the open segment")
	}
	return j, nil
}

// loadSegment adds the records of a segment to the index. Segments are loaded
// from the oldest to the newest, so that later records replace earlier ones.
func (j *Journal) loadSegment(number int64, lines []byte, now int64) error {
	return forEachRecord(lines, func(r Record, text []byte) {
		j.latestAt = max(j.latestAt, r.At)
		if j.isExpired(r.At, now) {
			return
		}
		j.index[r.id] = Entry{At: r.At, Segment: number, Hash: r.hash, State: r.State}
		if number == j.head.OpenNumber {
			j.openLines = append(j.openLines, Line{ID: r.id, At: r.At, Text: bytes.Clone(text)})
			j.openBytes += len(text)
		}
	})
}

// Head returns the committed head.
func (j *Journal) Head() Head {
	return j.head
}

// SetOwner sets the owner that the next proposal states.
func (j *Journal) SetOwner(epoch int64, owner, instance string) {
	j.head.Epoch = epoch
	j.head.Owner = owner
	j.head.Instance = instance
	j.head.Sequence = 0
}

// Len returns the number of keys in memory, including expired ones that have
// not been deleted yet.
func (j *Journal) Len() int {
	return len(j.index)
}

// Timestamp returns the time for new records: t in milliseconds, or the time
// of the newest record if t is before it.
func (j *Journal) Timestamp(t time.Time) int64 {
	j.latestAt = max(j.latestAt, t.UnixMilli())
	return j.latestAt
}

func (j *Journal) isExpired(at, now int64) bool {
	return now-at >= j.lifetime.Milliseconds()
}

// Lookup returns the committed entry of a key, or the zero Entry if there is
// none or it has expired.
func (j *Journal) Lookup(id ID, now int64) Entry {
	e, ok := j.index[id]
	if !ok || j.isExpired(e.At, now) {
		return Entry{}
	}
	return e
}

// State returns the committed state of a key, expired or not.
func (j *Journal) State(id ID) State {
	return j.index[id].State
}

// SetState changes the state of a committed record in memory only.
func (j *Journal) SetState(id ID, s State) {
	e := j.index[id]
	e.State = s
	j.index[id] = e
}

// Locate returns the line of a committed key if the open segment holds it, or
// else the sealed segment that does.
func (j *Journal) Locate(id ID) ([]byte, Segment) {
	for _, l := range j.openLines {
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

// SegmentToSeal returns the open segment and its lines if they exceed size
// bytes, and reports whether they do. The journal does not change: the caller
// stores the segment and passes it to Propose.
func (j *Journal) SegmentToSeal(size int) (Segment, []byte, bool) {
	if j.openBytes <= size {
		return Segment{}, nil, false
	}
	s := Segment{Number: j.head.OpenNumber, Writer: j.head.Instance}
	lines := make([]byte, 0, j.openBytes)
	for _, l := range j.openLines {
		lines = append(lines, l.Text...)
		s.NewestAt = max(s.NewestAt, l.At)
	}
	return s, lines, true
}

// NextExpiry returns the time at which the oldest sealed segment expires. It
// reports false if no segment is sealed.
func (j *Journal) NextExpiry() (time.Time, bool) {
	if len(j.head.Sealed) == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(j.head.Sealed[0].NewestAt).Add(j.lifetime), true
}

// Addition is a record that a proposal adds to the journal.
type Addition struct {
	Line
	Hash  Hash
	State State
}

// Proposal is the next head of a journal, not committed yet.
type Proposal struct {
	// Value is the value to store under the head key.
	Value []byte
	// ExpiredSegments are the sealed segments that the new head no longer lists
	// because all their records have expired.
	ExpiredSegments []Segment

	head      Head
	openLines []Line
	openBytes int
	additions []Addition
}

// Propose builds the next head from the committed one and the additions.
// If the lines of the open segment have been stored as a sealed segment, sealed
// describes it and a new open segment begins; otherwise sealed is nil. Only the
// sequence of the journal changes, so that no two proposals share one.
func (j *Journal) Propose(additions []Addition, sealed *Segment, now int64) (Proposal, error) {
	j.head.Sequence++
	p := Proposal{head: j.head, additions: additions}
	p.head.Sealed = nil
	for _, s := range j.head.Sealed {
		if j.isExpired(s.NewestAt, now) {
			p.ExpiredSegments = append(p.ExpiredSegments, s)
		} else {
			p.head.Sealed = append(p.head.Sealed, s)
		}
	}
	if sealed != nil {
		p.head.Sealed = append(p.head.Sealed, *sealed)
		p.head.OpenNumber++
	} else {
		p.copyOpenLines(j, now)
	}
	for _, a := range additions {
		p.appendLine(a.Line)
	}
	first, err := encodeLine(p.head)
	if err != nil {
		return p, err
	}
	p.Value = make([]byte, 0, len(first)+p.openBytes)
	p.Value = append(p.Value, first...)
	for _, l := range p.openLines {
		p.Value = append(p.Value, l.Text...)
	}
	return p, nil
}

// copyOpenLines copies those open lines of the journal that have not expired
// and that no addition replaces.
func (p *Proposal) copyOpenLines(j *Journal, now int64) {
	replaced := make(map[ID]struct{}, len(p.additions))
	for _, a := range p.additions {
		replaced[a.ID] = struct{}{}
	}
	p.openLines = make([]Line, 0, len(j.openLines)+len(p.additions))
	for _, l := range j.openLines {
		if _, ok := replaced[l.ID]; !ok && !j.isExpired(l.At, now) {
			p.appendLine(l)
		}
	}
}

func (p *Proposal) appendLine(l Line) {
	p.openLines = append(p.openLines, l)
	p.openBytes += len(l.Text)
}

// Apply updates the journal to a proposal that the store has accepted. It
// returns an error if the proposal announces a call that may have run already.
// The caller must then stop serving the shard, since the call could run twice.
func (j *Journal) Apply(p Proposal, now int64) error {
	for _, a := range p.additions {
		old := j.Lookup(a.ID, now).State
		if a.State == Intent && old != Absent && old != Free && old != NeverRun {
			return errors.Errorf("intent committed for a key that is already in state %d", old)
		}
		j.index[a.ID] = Entry{At: a.At, Segment: p.head.OpenNumber, Hash: a.Hash, State: a.State}
	}
	if p.head.OpenNumber == j.head.OpenNumber {
		j.deleteExpired(j.openLines, now)
	}
	j.head, j.openLines, j.openBytes = p.head, p.openLines, p.openBytes
	for _, s := range p.ExpiredSegments {
		j.deleteSegment(s.Number)
	}
	return nil
}

func (j *Journal) deleteExpired(lines []Line, now int64) {
	for _, l := range lines {
		if e, ok := j.index[l.ID]; ok && j.isExpired(e.At, now) {
			delete(j.index, l.ID)
		}
	}
}

func (j *Journal) deleteSegment(number int64) {
	for id, e := range j.index {
		if e.Segment == number {
			delete(j.index, id)
		}
	}
}
