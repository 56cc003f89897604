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

// kvEntry is a key and its value in the JSON form of the API, in which Value is
// encoded as base64.
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
	r, err := c.do(ctx, apiCall{method: http.MethodGet, path: kvPath(key)})
	if err != nil {
		return bergamotdale.Entry{}, errors.Trace(err)
	}
	return firstEntry(key, r)
}

// List implements bergamotdale.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]bergamotdale.Entry, error) {
	call := apiCall{method: http.MethodGet, path: kvPath(prefix), query: url.Values{"recurse": {""}}}
	r, err := c.do(ctx, call)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return decodeEntries(r)
}

// txnOp is one operation of a transaction in the JSON form of the API.
type txnOp struct {
	KV txnKV
}

// txnKV is an operation on a key: Verb names the operation, and Index is the
// version that a compare-and-swap expects.
type txnKV struct {
	Verb  string
	Key   string
	Value []byte
	Index int64
}

// CompareAndSwap implements bergamotdale.Store. It uses a transaction with one
// operation, because a plain write does not return the new version. Reading the
// version back would double the number of calls, and would return a later
// version if another write came in between.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	body, err := json.Marshal([]txnOp{{txnKV{"cas", key, value, version}}})
	if err != nil {
		return bergamotdale.Entry{}, errors.Trace(err)
	}
	r, err := c.do(ctx, apiCall{method: http.MethodPut, path: "/v1/txn", body: body})
	if err != nil {
		return bergamotdale.Entry{}, errors.Trace(err)
	}
	if r.status == http.StatusConflict {
		return bergamotdale.Entry{}, errors.Annotate(bergamotdale.ErrConflict, key)
	}
	result := struct{ Results []struct{ KV kvEntry } }{}
	if err := json.Unmarshal(r.body, &result); err != nil || len(result.Results) != 1 {
		return bergamotdale.Entry{}, errors.Annotatef(bergamotdale.ErrAmbiguous, "write of key %s: unexpected transaction response", key)
	}
	return bergamotdale.Entry{Key: key, Value: value, Version: result.Results[0].KV.ModifyIndex}, nil
}

// Delete implements bergamotdale.Store.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	return errors.Trace(c.writeIf(ctx, http.MethodDelete, key, nil, "cas", strconv.FormatInt(version, 10)))
}

// Watch implements bergamotdale.Store. With version zero it waits until the key
// exists: the store also ends a blocking query if a missing key is deleted or
// not changed, so the query is repeated until the wait is over.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (bergamotdale.Entry, error) {
	deadline := time.Now().Add(wait)
	index := after
	for {
		remaining := max(time.Until(deadline), 0)
		r, err := c.do(ctx, blockingQuery(key, index, remaining))
		if err != nil {
			return bergamotdale.Entry{}, errors.Trace(err)
		}
		e, err := firstEntry(key, r)
		notYetCreated := errors.Is(err, bergamotdale.ErrNotFound) && after == 0
		if !notYetCreated || !time.Now().Before(deadline) {
			return e, errors.Trace(err)
		}
		index = max(r.index, 1)
	}
}

// blockingQuery returns a call that reads the key and blocks until its index
// exceeds the given one or the wait is over. With index zero it does not block.
func blockingQuery(key string, index int64, wait time.Duration) apiCall {
	call := apiCall{method: http.MethodGet, path: kvPath(key), query: url.Values{}}
	if index > 0 && wait > 0 {
		call.query.Set("index", strconv.FormatInt(index, 10))
		call.query.Set("wait", wait.Round(time.Millisecond).String())
		call.wait = wait
	}
	return call
}

// GrantLease implements bergamotdale.Store. A lease is a session of Consul whose
// keys are deleted when it ends.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (bergamotdale.LeaseID, error) {
	body, err := json.Marshal(struct{ Name, TTL, Behavior, LockDelay string }{c.Caller, ttl.String(), "delete", "0s"})
	if err != nil {
		return "", errors.Trace(err)
	}
	r, err := c.do(ctx, apiCall{method: http.MethodPut, path: "/v1/session/create", body: body})
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
	r, err := c.do(ctx, apiCall{method: http.MethodPut, path: "/v1/session/renew/" + string(id), idempotent: true})
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
	_, err := c.do(ctx, apiCall{method: http.MethodPut, path: "/v1/session/destroy/" + string(id), idempotent: true})
	return errors.Trace(err)
}

// PutWithLease implements bergamotdale.Store. It returns ErrConflict if the key
// is attached to another lease, and ErrNotFound if the lease has expired.
func (c *Client) PutWithLease(ctx context.Context, key string, value []byte, id bergamotdale.LeaseID) error {
	return errors.Trace(c.writeIf(ctx, http.MethodPut, key, value, "acquire", string(id)))
}

// writeIf sends a write that the store executes only if the condition holds; the
// condition is a query parameter and its operand. It returns ErrConflict if the
// store responds with false, which means that the condition did not hold.
func (c *Client) writeIf(ctx context.Context, method, key string, value []byte, condition, operand string) error {
	call := apiCall{method: method, path: kvPath(key), query: url.Values{condition: {operand}}, body: value}
	r, err := c.do(ctx, call)
	if err != nil {
		return errors.Trace(err)
	}
	written := false
	if err := json.Unmarshal(r.body, &written); err != nil {
		return errors.Annotatef(bergamotdale.ErrAmbiguous, "write of key %s: decoding the response: %v", key, err)
	}
	if !written {
		return errors.Annotate(bergamotdale.ErrConflict, key)
	}
	return nil
}

// decodeEntries returns the entries in the response, none if the status is "not
// found".
func decodeEntries(r response) ([]bergamotdale.Entry, error) {
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

// firstEntry returns the entry in the response to a read of one key, or
// ErrNotFound if there is none.
func firstEntry(key string, r response) (bergamotdale.Entry, error) {
	entries, err := decodeEntries(r)
	if err != nil {
		return bergamotdale.Entry{}, errors.Trace(err)
	}
	if len(entries) == 0 {
		return bergamotdale.Entry{}, errors.Annotate(bergamotdale.ErrNotFound, key)
	}
	return entries[0], nil
}
