package follower

import (
	"context"
	"math/rand/v2"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/splitter"
)

func isNotFound(err error) bool {
	return errors.Is(err, bergamotdale.ErrNotFound)
}

// errHinted is the error of a long poll that a hint ended.
var errHinted = errors.ConstError("a peer has a higher revision than the long poll has reported")

// watchHead long-polls the head. On a hint it gives the long poll up with
// errHinted, since its connection may have failed silently.
func (f *Follower) watchHead(ctx context.Context, seen int64, hint <-chan struct{}) (bergamotdale.Entry, error) {
	type result struct {
		entry bergamotdale.Entry
		err   error
	}
	ctx, cancel := f.withTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	done := make(chan result, 1)
	go func() {
		entry, err := f.Store.Watch(ctx, reviser.HeadKey, seen, watchWait)
		done <- result{entry, err}
	}()
	select {
	case r := <-done:
		f.noteStoreResponse(r.err)
		return r.entry, r.err
	case <-hint:
		return bergamotdale.Entry{}, errHinted
	case <-ctx.Done():
		return bergamotdale.Entry{}, errors.Annotate(ctx.Err(), "no response to the long poll of the configuration head")
	}
}

// fetchSections returns the data of sections by name. hashes maps the name of
// each section to its hash.
func (f *Follower) fetchSections(ctx context.Context, hashes map[string]string) (map[string][]byte, error) {
	names := make([]string, 0, len(hashes))
	for name := range hashes {
		names = append(names, name)
	}
	found := make([][]byte, len(names))
	group, ctx := errgroup.WithContext(ctx)
	for i, name := range names {
		group.Go(func() error {
			data, err := f.fetchSection(ctx, hashes[name])
			found[i] = data
			return errors.Annotatef(err, "section %s", name)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	data := make(map[string][]byte, len(names))
	for i, name := range names {
		data[name] = found[i]
	}
	return data, nil
}

// fetchSection returns the data of a section from the configuration in force,
// or else from the store or a peer, whichever has it first. Peers are asked when
// the store has failed or not responded within sectionHedgeDelay: idle
// connections to it may have failed silently, and each would cost callTimeout.
// Data whose hash differs is not used.
func (f *Follower) fetchSection(ctx context.Context, hash string) ([]byte, error) {
	if c := f.current.Load(); c != nil {
		if data, ok := c.sections[hash]; ok {
			return data, nil
		}
	}
	type result struct {
		data []byte
		err  error
	}
	stored := make(chan result, 1)
	go func() {
		data, err := f.sectionFromStore(ctx, hash)
		stored <- result{data, err}
	}()
	select {
	case r := <-stored:
		if r.err == nil {
			return r.data, nil
		}
		if data := f.sectionFromPeers(ctx, hash); data != nil {
			return data, nil
		}
		return nil, r.err
	case <-f.Clock.After(sectionHedgeDelay):
	}
	if data := f.sectionFromPeers(ctx, hash); data != nil {
		return data, nil
	}
	r := <-stored
	return r.data, r.err
}

// sectionFromStore reads a section from the store.
func (f *Follower) sectionFromStore(ctx context.Context, hash string) ([]byte, error) {
	entry, err := f.getFromStore(ctx, reviser.SectionKey(hash))
	if err == nil && splitter.Hash(entry.Value) != hash {
		err = errors.NotValidf("stored data of section %s", hash)
	}
	if err != nil {
		return nil, err
	}
	return entry.Value, nil
}

// sectionFromPeers asks peers for a section, one after the other, and returns nil
// if none of them has it.
func (f *Follower) sectionFromPeers(ctx context.Context, hash string) []byte {
	for _, address := range f.samplePeers(startPeerCount) {
		response, err := f.askPeer(ctx, address, ConfigRequest{Section: hash})
		if err == nil && splitter.Hash(response.Section) == hash {
			return response.Section
		}
	}
	return nil
}

// catchUpFromPeers asks n random peers for a higher revision and adopts the
// highest one. Peers that do not respond are ignored.
func (f *Follower) catchUpFromPeers(ctx context.Context, n int) {
	addresses := f.samplePeers(n)
	heads := make([]*reviser.Head, len(addresses))
	var group errgroup.Group
	for i, address := range addresses {
		group.Go(func() error {
			response, err := f.askPeer(ctx, address, ConfigRequest{KnownRevision: f.revision()})
			if err == nil && response.Head != nil && response.Head.Validate() == nil {
				heads[i] = response.Head
			}
			return nil
		})
	}
	_ = group.Wait()
	var highest *reviser.Head
	for _, h := range heads {
		if h != nil && (highest == nil || h.Revision > highest.Revision) {
			highest = h
		}
	}
	if highest == nil || highest.Revision <= f.revision() {
		return
	}
	if err := f.Adopt(ctx, highest); err != nil {
		f.Logger.Warn("configuration offered by a peer not adopted", zap.Int64("offered", highest.Revision), zap.Error(err))
	}
}

func (f *Follower) askPeer(ctx context.Context, address string, request ConfigRequest) (ConfigResponse, error) {
	ctx, cancel := f.withTimeout(ctx, callTimeout)
	defer cancel()
	var response ConfigResponse
	err := f.Peer.Call(ctx, address, "config", request, &response)
	return response, err
}

// samplePeers returns the addresses of up to n random peers.
func (f *Follower) samplePeers(n int) []string {
	peers := f.Peers()
	chosen := make([]string, 0, n)
	for _, i := range rand.Perm(len(peers))[:min(len(peers), n)] {
		chosen = append(chosen, peers[i])
	}
	return chosen
}
