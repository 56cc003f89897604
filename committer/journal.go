package committer

import (
	"bytes"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// headKey returns the store key of a shard's head.
func headKey(shard int) string {
	return fmt.Sprintf("shard/%d/head", shard)
}

func segmentPrefix(shard int) string {
	return fmt.Sprintf("shard/%d/segment/", shard)
}

func segmentKey(shard int, s segment) string {
	return fmt.Sprintf("%s%d-%s", segmentPrefix(shard), s.Number, s.Writer)
}

// entry is the newest committed record of a key, without the response. Its
// size decides how many records a router can remember.
type entry struct {
	at      int64
	segment int64
	hash    bodyHash
	state   state
}

// line is an encoded record of the open segment.
type line struct {
	id   recordID
	at   int64
	text []byte
}

// journal is the committed content of a shard. It is pure: propose builds the
// next value of the head, and apply takes it over once it is committed.
type journal struct {
	lifetime time.Duration
	head     head
	open     []line
	// openBytes is the size of the lines in open.
	openBytes int
	index     map[recordID]entry
	// latest is the time of the newest record. It never falls, so records
	// expire in the order of their segments whatever the owners' clocks show.
	latest int64
}

func newJournal(lifetime time.Duration) *journal {
	return &journal{lifetime: lifetime, index: map[recordID]entry{}}
}

// load adds the lines of a segment, in the order of the segments.
func (j *journal) load(number int64, lines []byte, now int64) error {
	return eachRecord(lines, func(r record, text []byte) error {
		j.latest = max(j.latest, r.At)
		if j.expired(r.At, now) {
			return nil
		}
		j.index[r.id] = entry{at: r.At, segment: number, hash: r.hash, state: r.State}
		if number == j.head.Number {
			j.open = append(j.open, line{id: r.id, at: r.At, text: bytes.Clone(text)})
			j.openBytes += len(text)
		}
		return nil
	})
}

// now returns the time for new records.
func (j *journal) now(t time.Time) int64 {
	j.latest = max(j.latest, t.UnixMilli())
	return j.latest
}

func (j *journal) expired(at, now int64) bool {
	return now-at >= j.lifetime.Milliseconds()
}

// lookup returns the committed entry of a key that has not expired.
func (j *journal) lookup(id recordID, now int64) entry {
	e, ok := j.index[id]
	if !ok || j.expired(e.at, now) {
		return entry{}
	}
	return e
}

// sealed returns the description of a sealed segment.
func (j *journal) sealed(number int64) (segment, bool) {
	for _, s := range j.head.Sealed {
		if s.Number == number {
			return s, true
		}
	}
	return segment{}, false
}

// openLine returns the line of a key in the open segment.
func (j *journal) openLine(id recordID) ([]byte, bool) {
	for _, l := range j.open {
		if l.id == id {
			return l.text, true
		}
	}
	return nil, false
}

// openText returns the lines of the open segment and the time of the newest.
func (j *journal) openText() ([]byte, int64) {
	text := make([]byte, 0, j.openBytes)
	newest := int64(0)
	for _, l := range j.open {
		text = append(text, l.text...)
		newest = max(newest, l.at)
	}
	return text, newest
}

// addition is a record that the next head commits.
type addition struct {
	line
	hash  bodyHash
	state state
}

// proposal is a head that is not committed yet.
type proposal struct {
	head      head
	value     []byte
	open      []line
	openBytes int
	additions []addition
	// dropped are the sealed segments that the head no longer lists.
	dropped []segment
}

// propose builds the next head from the committed one and the additions.
// sealed is the segment that holds the present open lines, or nil. The journal
// does not change.
func (j *journal) propose(additions []addition, sealed *segment, now int64) (proposal, error) {
	p := proposal{head: j.head, additions: additions}
	p.head.Sequence++
	p.head.Sealed = nil
	for _, s := range j.head.Sealed {
		if j.expired(s.Newest, now) {
			p.dropped = append(p.dropped, s)
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
		p.add(a.line)
	}
	first, err := encodeLine(p.head)
	if err != nil {
		return p, err
	}
	p.value = make([]byte, 0, len(first)+p.openBytes)
	p.value = append(p.value, first...)
	for _, l := range p.open {
		p.value = append(p.value, l.text...)
	}
	return p, nil
}

// keepOpen copies the open lines that have not expired and are not replaced.
func (p *proposal) keepOpen(j *journal, now int64) {
	replaced := make(map[recordID]struct{}, len(p.additions))
	for _, a := range p.additions {
		replaced[a.id] = struct{}{}
	}
	p.open = make([]line, 0, len(j.open)+len(p.additions))
	for _, l := range j.open {
		if _, ok := replaced[l.id]; ok || j.expired(l.at, now) {
			continue
		}
		p.add(l)
	}
}

func (p *proposal) add(l line) {
	p.open = append(p.open, l)
	p.openBytes += len(l.text)
}

// apply takes over a proposal that is committed. It returns an error where an
// intent would follow a call that may have run: the shard must stop then.
func (j *journal) apply(p proposal, now int64) error {
	for _, a := range p.additions {
		old := j.lookup(a.id, now).state
		if a.state == intent && old != absent && old != free && old != unused {
			return errors.Errorf("intent committed after state %d of the same key", old)
		}
		j.index[a.id] = entry{at: a.at, segment: p.head.Number, hash: a.hash, state: a.state}
	}
	if p.head.Number == j.head.Number {
		j.forgetExpired(j.open, now)
	}
	j.head, j.open, j.openBytes = p.head, p.open, p.openBytes
	for _, s := range p.dropped {
		j.forgetSegment(s.Number)
	}
	return nil
}

func (j *journal) forgetExpired(lines []line, now int64) {
	for _, l := range lines {
		if e, ok := j.index[l.id]; ok && j.expired(e.at, now) {
			delete(j.index, l.id)
		}
	}
}

func (j *journal) forgetSegment(number int64) {
	for id, e := range j.index {
		if e.segment == number {
			delete(j.index, id)
		}
	}
}

// setState changes the state of a committed record in memory.
func (j *journal) setState(id recordID, s state) {
	e := j.index[id]
	e.state = s
	j.index[id] = e
}

// nextExpiry returns the time at which the first sealed segment expires.
func (j *journal) nextExpiry() (int64, bool) {
	if len(j.head.Sealed) == 0 {
		return 0, false
	}
	return j.head.Sealed[0].Newest + j.lifetime.Milliseconds(), true
}
