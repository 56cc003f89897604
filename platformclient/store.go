package platformclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// kvEntry is a key in the JSON form of the API. Value is base64 there.
type kvEntry struct {
	Key         string
	Value       []byte
	ModifyIndex int64
}

func (e kvEntry) entry() bergamotdale.Entry {
	return bergamotdale.Entry{Key: e.Key, Value: e.Value, Version: e.ModifyIndex}
}

func kvPath(key string) string {
	return "/v1/kv/" + key
}

// Get implements bergamotdale.Store.
func (c *Client) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	r, err := c.do(ctx, call{method: http.MethodGet, path: kvPath(key)})
	if err != nil {
		return bergamotdale.Entry{}, errors.Trace(err)
	}
	return single(key, r)
}

// List implements bergamotdale.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]bergamotdale.Entry, error) {
	k := call{method: http.MethodGet, path: kvPath(prefix), query: url.Values{"recurse": {""}}}
	r, err := c.do(ctx, k)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return decode(r)
}

// txnOp is one operation of a transaction of the API.
type txnOp struct {
	KV txnKV
}

type txnKV struct {
	Verb  string
	Key   string
	Value []byte
	Index int64
}

// CompareAndSwap implements bergamotdale.Store. It uses a transaction of one
// operation, because a plain write doesn't return the new version: reading it
// back would double the traffic, and would miss it after another write.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	body, err := json.Marshal([]txnOp{{txnKV{"cas", key, value, version}}})
	if err != nil {
		return bergamotdale.Entry{}, errors.Trace(err)
	}
	r, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/txn", body: body})
	if err != nil {
		return bergamotdale.Entry{}, errors.Trace(err)
	}
	if r.status == http.StatusConflict {
		return bergamotdale.Entry{}, errors.Annotate(bergamotdale.ErrConflict, key)
	}
	answer := struct{ Results []struct{ KV kvEntry } }{}
	if err := json.Unmarshal(r.body, &answer); err != nil || len(answer.Results) != 1 {
		return bergamotdale.Entry{}, errors.Annotatef(bergamotdale.ErrAmbiguous, "write of %s: unexpected response", key)
	}
	return bergamotdale.Entry{Key: key, Value: value, Version: answer.Results[0].KV.ModifyIndex}, nil
}

// Delete implements bergamotdale.Store.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	return errors.Trace(c.write(ctx, http.MethodDelete, key, nil, "cas", strconv.FormatInt(version, 10)))
}

// Watch implements bergamotdale.Store.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (bergamotdale.Entry, error) {
	deadline := time.Now().Add(wait)
	index := after
	for {
		left := max(time.Until(deadline), 0)
		r, err := c.do(ctx, watch(key, index, left))
		if err != nil {
			return bergamotdale.Entry{}, errors.Trace(err)
		}
		e, err := single(key, r)
		awaited := errors.Is(err, bergamotdale.ErrNotFound) && after == 0
		if !awaited || !time.Now().Before(deadline) {
			return e, errors.Trace(err)
		}
		index = max(r.index, 1)
	}
}

// watch returns a blocking query. Index zero doesn't block.
func watch(key string, index int64, wait time.Duration) call {
	k := call{method: http.MethodGet, path: kvPath(key), query: url.Values{}}
	if index > 0 && wait > 0 {
		k.query.Set("index", strconv.FormatInt(index, 10))
		k.query.Set("wait", wait.Round(time.Millisecond).String())
		k.wait = wait
	}
	return k
}

// GrantLease implements bergamotdale.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (bergamotdale.LeaseID, error) {
	body, err := json.Marshal(struct{ Name, TTL, Behavior, LockDelay string }{c.Caller, ttl.String(), "delete", "0s"})
	if err != nil {
		return "", errors.Trace(err)
	}
	r, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/session/create", body: body})
	if err != nil {
		return "", errors.Trace(err)
	}
	created := struct{ ID string }{}
	if err := json.Unmarshal(r.body, &created); err != nil {
		return "", errors.Annotate(err, "session")
	}
	return bergamotdale.LeaseID(created.ID), nil
}

// RenewLease implements bergamotdale.Store.
func (c *Client) RenewLease(ctx context.Context, id bergamotdale.LeaseID) error {
	r, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/session/renew/" + string(id), repeatable: true})
	if err != nil {
		return errors.Trace(err)
	}
	if r.status == http.StatusNotFound {
		return errors.Annotatef(bergamotdale.ErrNotFound, "lease %s", id)
	}
	return nil
}

// RevokeLease implements bergamotdale.Store.
func (c *Client) RevokeLease(ctx context.Context, id bergamotdale.LeaseID) error {
	_, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/session/destroy/" + string(id), repeatable: true})
	return errors.Trace(err)
}

// PutWithLease implements bergamotdale.Store. A key that is attached to
// another lease is ErrConflict, an expired lease is ErrNotFound.
func (c *Client) PutWithLease(ctx context.Context, key string, value []byte, id bergamotdale.LeaseID) error {
	return errors.Trace(c.write(ctx, http.MethodPut, key, value, "acquire", string(id)))
}

// write sends a conditional write. The store answers false if the condition
// didn't hold.
func (c *Client) write(ctx context.Context, method, key string, value []byte, condition, operand string) error {
	k := call{method: method, path: kvPath(key), query: url.Values{condition: {operand}}, body: value}
	r, err := c.do(ctx, k)
	if err != nil {
		return errors.Trace(err)
	}
	held := false
	if err := json.Unmarshal(r.body, &held); err != nil {
		return errors.Annotatef(bergamotdale.ErrAmbiguous, "write of %s: %v", key, err)
	}
	if !held {
		return errors.Annotate(bergamotdale.ErrConflict, key)
	}
	return nil
}

func decode(r response) ([]bergamotdale.Entry, error) {
	if r.status == http.StatusNotFound {
		return nil, nil
	}
	var found []kvEntry
	if err := json.Unmarshal(r.body, &found); err != nil {
		return nil, errors.Annotate(err, "entries")
	}
	entries := make([]bergamotdale.Entry, 0, len(found))
	for _, e := range found {
		entries = append(entries, e.entry())
	}
	return entries, nil
}

func single(key string, r response) (bergamotdale.Entry, error) {
	entries, err := decode(r)
	if err != nil {
		return bergamotdale.Entry{}, errors.Trace(err)
	}
	if len(entries) == 0 {
		return bergamotdale.Entry{}, errors.Annotate(bergamotdale.ErrNotFound, key)
	}
	return entries[0], nil
}
