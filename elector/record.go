package elector

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	routerPrefix   = "router/"
	endpointPrefix = "endpoint-owner/"
	shardPrefix    = "shard/"
	shardOwner     = "shard-owner/"
)

// RouterKey returns the store key that exists while the router holds its
// lease.
func RouterKey(id string) string {
	return routerPrefix + id
}

// RecordKey returns the store key of the ownership of a name. The journal of a
// shard has a head of its own, which holds the epoch as well and fences the
// previous owner.
func RecordKey(name string) string {
	if number, ok := strings.CutPrefix(name, shardPrefix); ok {
		return shardOwner + number
	}
	return endpointPrefix + name
}

// RouterRecord is the value of a router's key.
type RouterRecord struct {
	ID          string               `json:"id"`
	Address     string               `json:"address"`
	Session     bergamotdale.LeaseID `json:"session"`
	Incarnation int64                `json:"incarnation"`
}

// record is an ownership record as read from the store. A shard head holds
// further fields, which a change of owner keeps.
type record struct {
	bergamotdale.Ownership
	found   bool
	version int64
	fields  map[string]json.RawMessage
}

func decodeRecord(e bergamotdale.Entry) (record, error) {
	r := record{found: true, version: e.Version}
	if err := json.Unmarshal(e.Value, &r.fields); err != nil {
		return r, errors.Annotatef(err, "decoding %s", e.Key)
	}
	if err := json.Unmarshal(e.Value, &r.Ownership); err != nil {
		return r, errors.Annotatef(err, "decoding %s", e.Key)
	}
	return r, nil
}

// with returns the value of the record with another ownership.
func (r record) with(o bergamotdale.Ownership) ([]byte, error) {
	own, err := json.Marshal(o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(r.fields) == 0 {
		return own, nil
	}
	fields := make(map[string]json.RawMessage, len(r.fields))
	for k, v := range r.fields {
		fields[k] = v
	}
	if err := json.Unmarshal(own, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	value, err := json.Marshal(fields)
	return value, errors.Trace(err)
}
