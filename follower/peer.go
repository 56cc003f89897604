package follower

import (
	"context"
	"time"

	"github.com/bergamotdale/bergamotdale/reviser"
)

// ConfigRequest is the request of the peer message "config". It asks a router
// for its head or, if Section is set, for the data of a section.
type ConfigRequest struct {
	// KnownRevision is the revision that the sender has in force. The response
	// has no head unless its revision is higher.
	KnownRevision int64 `json:"known,omitempty"`
	// Section is the hash of the requested section.
	Section string `json:"section,omitempty"`
}

// ConfigResponse is the response to ConfigRequest. Its fields are empty if the
// responding router has no higher revision, or does not have the section.
type ConfigResponse struct {
	Head    *reviser.Head `json:"head,omitempty"`
	Section []byte        `json:"section,omitempty"`
}

// StatusRequest is the request of the peer message "status".
type StatusRequest struct{}

// Status says which configuration revision a router has in force. It is the
// response to StatusRequest.
type Status struct {
	Router string `json:"router"`
	// Revision is zero while no configuration is known.
	Revision int64 `json:"revision"`
	// Nonce identifies the write that led to the revision. Two routers with the
	// same revision but different nonces have different configurations.
	Nonce string `json:"nonce,omitempty"`
	// Since is when the revision was put in force on this router.
	Since time.Time `json:"since,omitzero"`
	// StoreSeen is when the router last had a response from the store.
	StoreSeen time.Time `json:"store-seen,omitzero"`
}

// HandleConfig responds to the peer message "config".
func (f *Follower) HandleConfig(_ context.Context, r ConfigRequest) (ConfigResponse, error) {
	c := f.current.Load()
	switch {
	case c == nil:
		return ConfigResponse{}, nil
	case r.Section != "":
		return ConfigResponse{Section: c.sections[r.Section]}, nil
	case c.head.Revision <= r.KnownRevision:
		return ConfigResponse{}, nil
	default:
		return ConfigResponse{Head: c.head}, nil
	}
}

// HandleStatus responds to the peer message "status".
func (f *Follower) HandleStatus(_ context.Context, _ StatusRequest) (Status, error) {
	return f.Status(), nil
}

// Status returns the state of the configuration on this router.
func (f *Follower) Status() Status {
	s := Status{Router: f.Router}
	if seen := f.lastStoreResponse.Load(); seen != nil {
		s.StoreSeen = *seen
	}
	if c := f.current.Load(); c != nil {
		s.Revision = c.head.Revision
		s.Nonce = c.head.Nonce()
		s.Since = c.since
	}
	return s
}
