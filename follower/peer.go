package follower

import (
	"context"
	"time"

	"github.com/bergamotdale/bergamotdale/reviser"
)

// ConfigRequest is the peer message "config". It asks for the head or, if
// Section is set, for the data of a section.
type ConfigRequest struct {
	// Known is the revision that the sender has in force; a head that is not
	// higher is left out of the response.
	Known int64 `json:"known,omitempty"`
	// Section is the hash of a section.
	Section string `json:"section,omitempty"`
}

// ConfigResponse answers ConfigRequest. Empty fields mean that the receiver
// has nothing newer, or does not have the section.
type ConfigResponse struct {
	Head    *reviser.Head `json:"head,omitempty"`
	Section []byte        `json:"section,omitempty"`
}

// StatusRequest is the peer message "status".
type StatusRequest struct{}

// Status is the configuration part of a router's status.
type Status struct {
	Router string `json:"router"`
	// Revision is zero while no configuration is known.
	Revision int64 `json:"revision"`
	// Nonce identifies the write that led to the revision. Two routers with
	// one revision and different nonces disagree.
	Nonce string `json:"nonce,omitempty"`
	// Since is when the revision came in force on this router.
	Since time.Time `json:"since,omitzero"`
	// StoreSeen is when the router last had a response of the store.
	StoreSeen time.Time `json:"store-seen,omitzero"`
}

// HandleConfig answers the peer message "config".
func (f *Follower) HandleConfig(_ context.Context, r ConfigRequest) (ConfigResponse, error) {
	c := f.current.Load()
	switch {
	case c == nil:
		return ConfigResponse{}, nil
	case r.Section != "":
		return ConfigResponse{Section: c.sections[r.Section]}, nil
	case c.head.Revision <= r.Known:
		return ConfigResponse{}, nil
	default:
		return ConfigResponse{Head: c.head}, nil
	}
}

// HandleStatus answers the peer message "status".
func (f *Follower) HandleStatus(_ context.Context, _ StatusRequest) (Status, error) {
	return f.Status(), nil
}

// Status returns the revision in force and since when.
func (f *Follower) Status() Status {
	s := Status{Router: f.Router}
	if seen := f.storeSeen.Load(); seen != nil {
		s.StoreSeen = *seen
	}
	if c := f.current.Load(); c != nil {
		s.Revision = c.head.Revision
		s.Nonce = c.head.Nonce()
		s.Since = c.since
	}
	return s
}
