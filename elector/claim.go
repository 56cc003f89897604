package elector

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// claimCalls is the most store calls of one claim without faults: the record,
// the old owner's key and the compare-and-swap.
const claimCalls = 3

// claim looks at the record of a name and claims it if that is allowed.
func (e *Elector) claim(ctx context.Context, name string) {
	if !e.begin(name) {
		return
	}
	defer e.end(name)
	before := e.calls.Load()
	defer func() { e.refund(claimCalls - int(e.calls.Load()-before)) }()
	if err := e.tryClaim(ctx, name); err != nil {
		e.Logger.Debug("claim-failed", zap.String("name", name), zap.Error(err))
		e.later(name, 2*retryMin)
	}
}

func (e *Elector) tryClaim(ctx context.Context, name string) error {
	r, err := e.read(ctx, name)
	if err != nil {
		return err
	}
	if e.adopt(r) {
		return nil
	}
	may := MayClaim(e.Self.ID, r.Ownership, r.found, e.gone(r.Owner), nil)
	if may == ClaimCheckLease {
		expired, err := e.expired(ctx, r.Owner)
		if err != nil {
			return err
		}
		may = MayClaim(e.Self.ID, r.Ownership, r.found, true, &expired)
	}
	switch may {
	case ClaimOwnerLive:
		// The owner hands over, or its death will change the membership.
		e.later(name, retryMax)
		return nil
	case ClaimOwnerLeased:
		e.later(name, retryMin)
		return nil
	}
	o, version, status := e.write(ctx, r, e.nextOwnership(r, name))
	if status != HandoverClaimed {
		return errors.Errorf("compare-and-swap of %s was %s", name, status)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gain(o, version, false) && r.Address != "" && r.Owner != e.Self.ID {
		e.notices = append(e.notices, notice{r.Address, o})
	}
	return nil
}

// read returns the record of the name.
func (e *Elector) read(ctx context.Context, name string) (record, error) {
	var entry bergamotdale.Entry
	err := e.call(ctx, func(ctx context.Context) (err error) {
		entry, err = e.Store.Get(ctx, RecordKey(name))
		return err
	})
	if errors.Is(err, bergamotdale.ErrNotFound) {
		return record{Ownership: bergamotdale.Ownership{Name: name}}, nil
	}
	if err != nil {
		return record{}, errors.Annotatef(err, "reading the record of %s", name)
	}
	r, err := decodeRecord(entry)
	if err != nil {
		return r, err
	}
	r.Name = name
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(r.Ownership, r.version)
	return r, nil
}

// adopt holds a name whose record an own earlier write has changed although
// its response was lost.
func (e *Elector) adopt(r record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.pending[r.Name]
	if !ok || !r.found || r.Nonce != p.Nonce || e.held[r.Name] != nil {
		return false
	}
	e.gain(r.Ownership, r.version, false)
	return true
}

// gone reports whether the membership holds a router for dead or left, or
// does not know it.
func (e *Elector) gone(id string) bool {
	m, ok := e.Membership.Member(id)
	return !ok || m.State == bergamotdale.MemberDead || m.State == bergamotdale.MemberLeft
}

// expired reports whether the key of a router is gone from the store.
func (e *Elector) expired(ctx context.Context, id string) (bool, error) {
	err := e.call(ctx, func(ctx context.Context) error {
		_, err := e.Store.Get(ctx, RouterKey(id))
		return err
	})
	if errors.Is(err, bergamotdale.ErrNotFound) {
		return true, nil
	}
	return false, errors.Annotatef(err, "reading the key of %s", id)
}

// nextOwnership returns the record of a claim. An earlier claim on the same
// record whose outcome is open is repeated unchanged: should its write still
// take effect, it is the same record.
func (e *Elector) nextOwnership(r record, name string) bergamotdale.Ownership {
	e.mu.Lock()
	defer e.mu.Unlock()
	epoch := max(r.Epoch, e.known[name].Epoch) + 1
	if p, ok := e.pending[name]; ok && p.Epoch == epoch {
		return p
	}
	return bergamotdale.Ownership{
		Name:    name,
		Owner:   e.Self.ID,
		Address: e.Self.Address,
		Session: e.lease.id,
		Epoch:   epoch,
		Nonce:   e.nonce(),
	}
}

// nonce returns a value that no other write uses. The caller holds mu.
func (e *Elector) nonce() string {
	return strconv.FormatUint(e.Random.Uint64(), 36)
}

// write puts the ownership in place of the record that was read. A write with
// an unclear outcome is settled by reading the key back. The status is
// rejected only if the write cannot take effect any more.
func (e *Elector) write(ctx context.Context, r record, o bergamotdale.Ownership) (bergamotdale.Ownership, int64, HandoverStatus) {
	value, err := r.with(o)
	if err != nil {
		return o, 0, HandoverRejected
	}
	e.mu.Lock()
	repeated := e.pending[o.Name] == o
	e.pending[o.Name] = o
	e.mu.Unlock()
	var entry bergamotdale.Entry
	err = e.call(ctx, func(ctx context.Context) (err error) {
		entry, err = e.Store.CompareAndSwap(ctx, RecordKey(o.Name), value, r.version)
		return err
	})
	if err == nil {
		return o, entry.Version, HandoverClaimed
	}
	if errors.Is(err, bergamotdale.ErrUnavailable) && !repeated {
		e.drop(o)
		return o, 0, HandoverRejected
	}
	if errors.Is(err, bergamotdale.ErrConflict) && !repeated {
		e.drop(o)
		return o, 0, HandoverRejected
	}
	return e.readBack(ctx, r, o)
}

// readBack finds out whether a write with an unclear outcome took effect.
func (e *Elector) readBack(ctx context.Context, r record, o bergamotdale.Ownership) (bergamotdale.Ownership, int64, HandoverStatus) {
	now, err := e.read(ctx, o.Name)
	switch {
	case err != nil:
		return o, 0, HandoverUnknown
	case now.found && now.Nonce == o.Nonce:
		return o, now.version, HandoverClaimed
	case now.version != r.version:
		e.drop(o)
		return o, 0, HandoverRejected
	}
	// The record is unchanged, and the write may still arrive.
	return o, 0, HandoverUnknown
}

// drop forgets a claim that cannot take effect.
func (e *Elector) drop(o bergamotdale.Ownership) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending[o.Name] == o {
		delete(e.pending, o.Name)
	}
}

// check reads the record of a held name again.
func (e *Elector) check(ctx context.Context, name string) {
	if !e.begin(name) {
		return
	}
	defer e.end(name)
	r, err := e.read(ctx, name)
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.held[name]
	if h == nil {
		return
	}
	if err != nil {
		h.verify = e.Clock.Now().Add(retryMin)
		return
	}
	if !r.found || r.Nonce != h.Nonce {
		e.lose(h, "the record has another writer")
		return
	}
	h.verify = e.Clock.Now().Add(verifyInterval/2 + time.Duration(e.Random.Int64N(int64(verifyInterval))))
	if !h.verified {
		h.verified = true
		e.publish()
	}
}

// notify sends the claim notices of this pass. They are best effort: an old
// owner that misses one finds out when it reads its record again.
func (e *Elector) notify(ctx context.Context) {
	e.mu.Lock()
	notices := e.notices
	e.notices = nil
	e.mu.Unlock()
	for _, n := range notices {
		limited, cancel := context.WithTimeout(ctx, noticeTimeout)
		var response ClaimNoticeResponse
		err := e.Peer.Call(limited, n.address, ClaimNoticePath, ClaimNotice{Ownership: n.ownership}, &response)
		cancel()
		if err != nil {
			e.Logger.Debug("claim-notice-failed", zap.String("name", n.ownership.Name), zap.Error(err))
		}
	}
}
