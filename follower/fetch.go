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

// watch long-polls the head. On a hint it reads the head directly, on a new
// call.
func (f *Follower) watch(ctx context.Context, seen int64, hint <-chan struct{}) (bergamotdale.Entry, error) {
	type result struct {
		entry bergamotdale.Entry
		err   error
	}
	ctx, cancel := f.bounded(ctx, watchWait+watchGrace)
	defer cancel()
	done := make(chan result, 1)
	go func() {
		entry, err := f.Store.Watch(ctx, reviser.HeadKey, seen, watchWait)
		done <- result{entry, err}
	}()
	select {
	case r := <-done:
		f.noteStore(r.err)
		return r.entry, r.err
	case <-hint:
		return f.get(ctx, reviser.HeadKey)
	case <-ctx.Done():
		return bergamotdale.Entry{}, errors.Annotate(ctx.Err(), "long poll of the head is silent")
	}
}

// fetch returns the data of the sections by name. Sections that are not in
// force already come from the store or, failing that, from peers.
func (f *Follower) fetch(ctx context.Context, hashes map[string]string) (map[string][]byte, error) {
	names := make([]string, 0, len(hashes))
	for name := range hashes {
		names = append(names, name)
	}
	found := make([][]byte, len(names))
	group, ctx := errgroup.WithContext(ctx)
	for i, name := range names {
		group.Go(func() error {
			data, err := f.section(ctx, hashes[name])
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

func (f *Follower) section(ctx context.Context, hash string) ([]byte, error) {
	if c := f.current.Load(); c != nil {
		if data, ok := c.sections[hash]; ok {
			return data, nil
		}
	}
	entry, err := f.get(ctx, reviser.SectionKey(hash))
	if err == nil {
		if splitter.Hash(entry.Value) == hash {
			return entry.Value, nil
		}
		err = errors.NotValidf("data of section %s in the store", hash)
	}
	for _, address := range f.sample(startSample) {
		response, peerErr := f.ask(ctx, address, ConfigRequest{Section: hash})
		if peerErr == nil && splitter.Hash(response.Section) == hash {
			return response.Section, nil
		}
	}
	return nil, err
}

// catchUp asks n random peers for a higher revision and adopts the highest.
func (f *Follower) catchUp(ctx context.Context, n int) {
	addresses := f.sample(n)
	heads := make([]*reviser.Head, len(addresses))
	var group errgroup.Group
	for i, address := range addresses {
		group.Go(func() error {
			response, err := f.ask(ctx, address, ConfigRequest{Known: f.revision()})
			if err == nil && response.Head != nil && response.Head.Check() == nil {
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
		f.Logger.Warn("configuration of a peer not adopted", zap.Int64("offered", highest.Revision), zap.Error(err))
	}
}

func (f *Follower) ask(ctx context.Context, address string, request ConfigRequest) (ConfigResponse, error) {
	ctx, cancel := f.bounded(ctx, callTimeout)
	defer cancel()
	var response ConfigResponse
	err := f.Peer.Call(ctx, address, "config", request, &response)
	return response, err
}

// sample returns up to n random peers.
func (f *Follower) sample(n int) []string {
	peers := f.Peers()
	chosen := make([]string, 0, n)
	for _, i := range rand.Perm(len(peers))[:min(len(peers), n)] {
		chosen = append(chosen, peers[i])
	}
	return chosen
}
