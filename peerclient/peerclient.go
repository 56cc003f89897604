// Package peerclient carries messages between routers: HTTP with JSON below
// /peer/v1/, streams as JSON lines with one frame per line.
//
// The client reports the outcome of a failed call exactly. A call is not-run
// only if none of its bytes was written to any connection, or if the peer
// itself said so in a refusal; everything else is unknown. The serving side
// uses WriteJSON, WriteRefusal and FrameWriter.
package peerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// BasePath is the path prefix of all messages between routers.
const BasePath = "/peer/v1/"

const (
	// DefaultDialTimeout bounds the time to open a connection.
	DefaultDialTimeout = time.Second
	// DefaultSilenceTimeout is the time without any frame after which a stream
	// counts as cut. Heartbeats arrive every second.
	DefaultSilenceTimeout = 3 * time.Second
	// DefaultCallTimeout applies to calls whose context has no deadline.
	DefaultCallTimeout = 10 * time.Second
	// DefaultIdleTimeout closes connections that carried nothing for so long.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultMaxIdle bounds the idle connections. A probe a second to random
	// members of a large fleet would otherwise keep one to each of them.
	DefaultMaxIdle = 64
	// DefaultMaxIdlePerPeer bounds the idle connections to one address.
	DefaultMaxIdlePerPeer = 4
	// MaxResponseBytes bounds the body of a response and one line of a stream.
	MaxResponseBytes = 4 << 20
)

// Client implements bergamotdale.Peer. New sets the exported fields to their
// defaults; they may be changed before the first call.
type Client struct {
	DialTimeout    time.Duration
	SilenceTimeout time.Duration
	CallTimeout    time.Duration
	IdleTimeout    time.Duration
	MaxIdle        int
	MaxIdlePerPeer int

	transport func() *http.Transport
	pool      *pool
	sent      atomic.Int64
	received  atomic.Int64
}

var _ bergamotdale.Peer = (*Client)(nil)

// New returns a client with the default settings.
func New() *Client {
	c := &Client{
		DialTimeout:    DefaultDialTimeout,
		SilenceTimeout: DefaultSilenceTimeout,
		CallTimeout:    DefaultCallTimeout,
		IdleTimeout:    DefaultIdleTimeout,
		MaxIdle:        DefaultMaxIdle,
		MaxIdlePerPeer: DefaultMaxIdlePerPeer,
		pool:           newPool(),
	}
	c.transport = sync.OnceValue(func() *http.Transport {
		return &http.Transport{
			DialContext:         c.dial,
			MaxIdleConns:        c.MaxIdle,
			MaxIdleConnsPerHost: c.MaxIdlePerPeer,
			IdleConnTimeout:     c.IdleTimeout,
			DisableCompression:  true,
		}
	})
	return c
}

// Bytes returns the bytes written to and read from all connections, headers
// included.
func (c *Client) Bytes() (sent, received int64) {
	return c.sent.Load(), c.received.Load()
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport().CloseIdleConnections()
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.DialTimeout}
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.pool.add(raw, address, &c.sent, &c.received), nil
}

// Call implements bergamotdale.Peer.
func (c *Client) Call(ctx context.Context, address, path string, request, response any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.CallTimeout)
		defer cancel()
	}
	resp, err := c.post(ctx, address, path, request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		c.pool.silent(address, err)
		return lost(address, path, err)
	}
	if len(body) > MaxResponseBytes {
		return lost(address, path, errors.Errorf("response is longer than %d bytes", MaxResponseBytes))
	}
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(address, path, resp.StatusCode, body)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(body, response); err != nil {
		return lost(address, path, errors.Annotate(err, "decoding the response"))
	}
	return nil
}

// post sends the request and returns the response with its headers read. Its
// errors are *bergamotdale.Refusal.
func (c *Client) post(ctx context.Context, address, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInternal, "encoding %s", path).WithCause(err)
	}
	t := &track{pool: c.pool}
	url := "http://" + address + BasePath + path
	req, err := http.NewRequestWithContext(t.trace(ctx), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodePeer, "address %s", address).WithCause(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport().RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if t.unwritten() {
		return nil, bergamotdale.Refuse(bergamotdale.CodePeer, "%s at %s was not sent", path, address).WithCause(err)
	}
	c.pool.silent(address, err)
	return nil, lost(address, path, err)
}

// lost describes a call whose response did not arrive.
func lost(address, path string, err error) *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodePeer, "response to %s from %s was lost", path, address).
		WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
}
